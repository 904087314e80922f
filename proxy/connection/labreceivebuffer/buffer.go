package labreceivebuffer

// chunkBytes is the largest size of a chunk that receives small pieces.
const chunkBytes = 16 << 10

// Buffer holds received bytes in their order. Its zero value is ready for use and holds no memory.
type Buffer struct {
	chunks   []chunk
	size     int
	capacity int
}

type chunk struct {
	data     []byte
	capacity int // bytes of the whole array, of which data may be the rest
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// Capacity returns the number of bytes of memory.
func (b *Buffer) Capacity() int { return b.capacity }

// Append copies data to the end.
func (b *Buffer) Append(data []byte) {
	b.size += len(data)

	if i := len(b.chunks) - 1; i >= 0 {
		last := &b.chunks[i]
		n := min(len(data), cap(last.data)-len(last.data))
		last.data = append(last.data, data[:n]...)
		data = data[n:]
	}

	if len(data) > 0 {
		// Chunks grow with the message, so that small pieces don't need a chunk each.
		b.push(append(make([]byte, 0, max(len(data), min(chunkBytes, b.size-len(data)))), data...))
	}
}

func (b *Buffer) push(data []byte) {
	b.chunks = append(b.chunks, chunk{data: data, capacity: cap(data)})
	b.capacity += cap(data)
}

// First returns the first bytes that are contiguous in memory. It is valid until Discard or Join.
func (b *Buffer) First() []byte {
	if len(b.chunks) == 0 {
		return nil
	}

	return b.chunks[0].data
}

// Join at least doubles the number of bytes that First returns, or makes it return all. It returns false if First returns
// all bytes already.
func (b *Buffer) Join() bool {
	if len(b.chunks) < 2 {
		return false
	}

	count, size := 1, len(b.chunks[0].data)
	for target := 2 * size; count < len(b.chunks) && (size < target || count == 1); count++ {
		size += len(b.chunks[count].data)
	}

	joined := make([]byte, 0, size)

	for _, c := range b.chunks[:count] {
		joined = append(joined, c.data...)
		b.capacity -= c.capacity
	}

	b.capacity += cap(joined)
	b.chunks = append([]chunk{{data: joined, capacity: cap(joined)}}, b.chunks[count:]...)

	return true
}

// Discard removes the first size bytes, at most those that First returns.
func (b *Buffer) Discard(size int) {
	b.size -= size

	if first := &b.chunks[0]; size < len(first.data) {
		first.data = first.data[size:]

		return
	}

	b.capacity -= b.chunks[0].capacity
	b.chunks = b.chunks[1:]

	if len(b.chunks) == 0 {
		b.chunks = nil // frees the memory of idle sessions
	}
}

// Reset removes all bytes.
func (b *Buffer) Reset() { *b = Buffer{} }
