package endpoint

import "sync/atomic"

// Buffers bounds the memory that bodies and answers take together.
type Buffers struct {
	available atomic.Int64
}

// NewBuffers returns buffers of so many bytes.
func NewBuffers(size int) *Buffers {
	bf := &Buffers{}
	bf.available.Store(int64(size))
	return bf
}

// Reserve reserves bytes and reports whether there were enough.
func (bf *Buffers) Reserve(size int64) bool {
	if bf.available.Add(-size) >= 0 {
		return true
	}
	bf.available.Add(size)
	return false
}

// Release returns bytes that were reserved.
func (bf *Buffers) Release(size int64) {
	bf.available.Add(size)
}

// Available returns the bytes that can still be reserved.
func (bf *Buffers) Available() int64 {
	return bf.available.Load()
}
