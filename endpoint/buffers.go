package endpoint

import "sync/atomic"

// Buffers bounds the total memory used for request bodies and answers.
type Buffers struct {
	available atomic.Int64
}

// NewBuffers returns buffers with a capacity of size bytes.
func NewBuffers(size int) *Buffers {
	bf := &Buffers{}
	bf.available.Store(int64(size))
	return bf
}

// Reserve reserves size bytes and reports whether that many were available.
func (bf *Buffers) Reserve(size int64) bool {
	if bf.available.Add(-size) >= 0 {
		return true
	}
	bf.available.Add(size)
	return false
}

// Release returns reserved bytes.
func (bf *Buffers) Release(size int64) {
	bf.available.Add(size)
}

// Available returns the number of bytes that can still be reserved.
func (bf *Buffers) Available() int64 {
	return bf.available.Load()
}
