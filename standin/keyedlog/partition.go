package keyedlog

import (
	"slices"
	"time"
)

type record struct {
	key   string
	value []byte
	// appendedAt isn't part of the record's bytes.
	appendedAt time.Time
}

// partitionID names a partition by its topic and its number, both as in queries.
type partitionID struct{ topic, number string }

// partition is a log of records. Its end is the offset of the next record.
type partition struct {
	// records holds all records from offset 0, so that a dropped one can be restored. Those before firstOffset can't be
	// read by offset.
	records     []record
	firstOffset uint64
	// drops are the times at which firstOffset was raised.
	drops []drop
	// newest is the offset of the newest record of each key that has a value.
	newest map[string]uint64
	// lost holds the records to be appended again at rewriteAt, in order.
	lost      []record
	rewriteAt time.Time
	// changed is closed and replaced at each change, for reads that wait.
	changed chan struct{}
}

// drop is one loss of all records before an offset.
type drop struct {
	at          time.Time
	firstOffset uint64
}

func newPartition() *partition {
	return &partition{newest: map[string]uint64{}, changed: make(chan struct{})}
}

func (p *partition) end() uint64 { return uint64(len(p.records)) }

func (p *partition) append(records []record, now time.Time) {
	for _, r := range records {
		r.appendedAt = now
		p.index(r, p.end())
		p.records = append(p.records, r)
	}
	p.wakeReaders()
}

// index makes r, at offset, the newest record of its key. A record without a value deletes its key.
func (p *partition) index(r record, offset uint64) {
	if len(r.value) == 0 {
		delete(p.newest, r.key)
		return
	}
	p.newest[r.key] = offset
}

func (p *partition) wakeReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *partition) drop(now time.Time) {
	p.firstOffset = p.end()
	p.drops = append(p.drops, drop{at: now, firstOffset: p.firstOffset})
}

// restore returns the partition to its state at a time and returns the records that are lost by it.
func (p *partition) restore(at time.Time) []record {
	kept := len(p.records)
	for kept > 0 && p.records[kept-1].appendedAt.After(at) {
		kept--
	}
	lost := slices.Clone(p.records[kept:])
	p.records = slices.Clone(p.records[:kept])
	p.drops = slices.DeleteFunc(p.drops, func(d drop) bool { return d.at.After(at) })
	p.firstOffset = 0
	if n := len(p.drops); n > 0 {
		p.firstOffset = p.drops[n-1].firstOffset
	}
	clear(p.newest)
	for offset, r := range p.records {
		p.index(r, uint64(offset))
	}
	p.wakeReaders()
	return lost
}

// queueRewrites has lost records appended again at a time. What an earlier restore lost and is still to be appended
// follows them: had a newer record of the same key been appended since, it would have been superseded.
func (p *partition) queueRewrites(lost []record, at time.Time) {
	p.lost, p.rewriteAt = append(lost, p.lost...), at
}

// supersede drops the lost records of a key whose writer appends a newer record.
func (p *partition) supersede(key string) {
	p.lost = slices.DeleteFunc(p.lost, func(r record) bool { return r.key == key })
}

// rewrite appends the lost records if it is time.
func (p *partition) rewrite(now time.Time) {
	if len(p.lost) == 0 || now.Before(p.rewriteAt) {
		return
	}
	p.append(p.lost, now)
	p.lost = nil
}
