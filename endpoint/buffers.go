package endpoint

import "sync/atomic"

// Buffers bounds the memory that bodies and answers take together.
type Buffers struct {
	left atomic.Int64
}

// NewBuffers returns buffers of so many bytes.
func NewBuffers(size int) *Buffers {
	bf := &Buffers{}
	bf.left.Store(int64(size))
	return bf
}

// Take reserves bytes and reports whether there were enough.
func (bf *Buffers) Take(size int64) bool {
	if bf.left.Add(-size) >= 0 {
		return true
	}
	bf.left.Add(size)
	return false
}

// Give returns bytes that were reserved.
func (bf *Buffers) Give(size int64) {
	bf.left.Add(size)
}

// Left returns the bytes that can still be reserved.
func (bf *Buffers) Left() int64 {
	return bf.left.Load()
}
