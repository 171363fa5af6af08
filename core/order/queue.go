package order

// item is an order as of the change with this serial. It is stale once the order has a higher serial.
type item struct {
	serial uint64
	id     ID
}

// queue is a FIFO of items.
type queue struct {
	items []item
	head  int
}

func (q *queue) len() int    { return len(q.items) - q.head }
func (q *queue) front() item { return q.items[q.head] }

func (q *queue) push(i item) { q.items = append(q.items, i) }

func (q *queue) pop() item {
	i := q.items[q.head]
	q.head++
	// Moving the remaining items only once more than half of the slice was popped keeps the amortized cost constant.
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		q.items = q.items[:n]
		q.head = 0
	}
	return i
}
