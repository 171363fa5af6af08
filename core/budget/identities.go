package budget

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// generationsPerRetention is the number of generations in the retention time. All identities of a generation are
// forgotten at once, up to retention / generationsPerRetention late. More generations cost lookups, fewer cost memory.
const generationsPerRetention = 20

// hashBytes is the size of an identity's hash. With 128 bits, two of 10^9 identities collide with probability 10^-21.
const hashBytes = 16

type identityHash [hashBytes]byte

// hashIdentity hashes the identity of a request of a team. Snapshots contain the hash, so it is the same in every
// process. The length prefix separates team and identity.
func hashIdentity(team, identity string) identityHash {
	var buf [2 + 2*maxNameBytes]byte
	b := binary.BigEndian.AppendUint16(buf[:0], uint16(len(team)))
	b = append(append(b, team...), identity...)
	sum := sha256.Sum256(b)
	return identityHash(sum[:hashBytes])
}

// billedIdentity has no 64-bit field, so that it takes 28 bytes and not 32.
type billedIdentity struct {
	hash            identityHash
	spender         uint32
	reservationLow  uint32
	reservationHigh uint32
}

func (b billedIdentity) reservation() uint64 {
	return uint64(b.reservationHigh)<<32 | uint64(b.reservationLow)
}

// generation holds the identities of one slot of time, which are forgotten together.
type generation struct {
	slot int64
	// spenders are in the order of their first line in the generation.
	spenders   []record.Author
	spenderIDs map[record.Author]uint32
	// entries are in log order.
	entries []billedIdentity
	// index is an open-addressing hash table of positions in entries plus one. Its length is a power of two.
	index []uint32
}

func newGeneration(slot int64) *generation {
	return &generation{slot: slot, spenderIDs: map[record.Author]uint32{}, index: make([]uint32, 16)}
}

// probe returns the position of a hash in the index, or the free position where it belongs.
func (g *generation) probe(h identityHash) int {
	mask := len(g.index) - 1
	i := int(binary.LittleEndian.Uint32(h[:])) & mask
	for g.index[i] != 0 && g.entries[g.index[i]-1].hash != h {
		i = (i + 1) & mask
	}
	return i
}

func (g *generation) find(h identityHash) (BilledReservation, bool) {
	n := g.index[g.probe(h)]
	if n == 0 {
		return BilledReservation{}, false
	}
	e := g.entries[n-1]
	return BilledReservation{Spender: g.spenders[e.spender], Reservation: e.reservation()}, true
}

// add adds an identity that is not in the generation. It keeps the index at most 3/4 full.
func (g *generation) add(h identityHash, p BilledReservation) {
	if 4*(len(g.entries)+1) > 3*len(g.index) {
		g.index = make([]uint32, 2*len(g.index))
		for i, e := range g.entries {
			g.index[g.probe(e.hash)] = uint32(i + 1)
		}
	}
	g.entries = append(g.entries, billedIdentity{
		hash:            h,
		spender:         g.spender(p.Spender),
		reservationLow:  uint32(p.Reservation),
		reservationHigh: uint32(p.Reservation >> 32),
	})
	g.index[g.probe(h)] = uint32(len(g.entries))
}

func (g *generation) spender(a record.Author) uint32 {
	id, ok := g.spenderIDs[a]
	if !ok {
		id = uint32(len(g.spenders))
		g.spenders = append(g.spenders, a)
		g.spenderIDs[a] = id
	}
	return id
}

// identities remembers the billed identities.
type identities struct {
	retention time.Duration
	// now is the log time of the last bill record.
	now time.Time
	// generations are in the order of their slots.
	generations []*generation
}

func (s *identities) slotSeconds() int64 {
	return max(int64(s.retention/generationsPerRetention/time.Second), 1)
}

// slotOf returns the slot of a time, rounded down also before 1970. It counts seconds, since the nanoseconds of an
// invalid time may overflow.
func (s *identities) slotOf(t time.Time) int64 {
	seconds, length := t.Unix(), s.slotSeconds()
	slot := seconds / length
	if seconds%length < 0 {
		slot--
	}
	return slot
}

// isExpired reports whether a line made at t is too old to be counted.
func (s *identities) isExpired(t time.Time) bool { return s.now.Sub(t) >= s.retention }

// advance sets the current time and drops the generations in which every line is expired.
func (s *identities) advance(now time.Time) {
	s.now = now
	expired := s.slotOf(now.Add(-s.retention)) - 1
	n := 0
	for n < len(s.generations) && s.generations[n].slot <= expired {
		n++
	}
	s.generations = slices.Delete(s.generations, 0, n)
}

// find returns the billed reservation of an identity and the slot of its generation.
func (s *identities) find(h identityHash) (BilledReservation, int64, bool) {
	for _, g := range slices.Backward(s.generations) {
		if p, ok := g.find(h); ok {
			return p, g.slot, true
		}
	}
	return BilledReservation{}, 0, false
}

// extend remembers an identity, which find returned with a reservation and a slot, until a line made at t is expired,
// too. Otherwise a copy of a line that was refunded as a duplicate would be billed once the first line is forgotten.
func (s *identities) extend(h identityHash, t time.Time, p BilledReservation, slot int64) {
	if needed := s.slotOf(t); needed > slot {
		s.generation(needed).add(h, p)
	}
}

// add remembers an identity until a line made at t is expired, and at least for one retention time from now on.
func (s *identities) add(h identityHash, t time.Time, p BilledReservation) {
	if t.Before(s.now) {
		t = s.now
	}
	s.generation(s.slotOf(t)).add(h, p)
}

func (s *identities) generation(slot int64) *generation {
	i, found := slices.BinarySearchFunc(s.generations, slot, func(g *generation, slot int64) int {
		return cmp.Compare(g.slot, slot)
	})
	if !found {
		// The generations before this one rarely grow any more, so their spare capacity is freed.
		for _, g := range s.generations[:i] {
			if cap(g.entries) > len(g.entries)+len(g.entries)/16 {
				g.entries = append(make([]billedIdentity, 0, len(g.entries)), g.entries...)
			}
		}
		s.generations = slices.Insert(s.generations, i, newGeneration(slot))
	}
	return s.generations[i]
}

// generationEncoding is an encoded generation. Each entry is the hash, then the index in Spenders and the reservation
// as varints.
type generationEncoding struct {
	Slot     int64           `json:"slot"`
	Spenders []record.Author `json:"spenders"`
	Entries  []byte          `json:"entries"`
}

func (g *generation) encoding() generationEncoding {
	data := make([]byte, 0, len(g.entries)*(hashBytes+6))
	for _, e := range g.entries {
		data = append(data, e.hash[:]...)
		data = binary.AppendUvarint(data, uint64(e.spender))
		data = binary.AppendUvarint(data, e.reservation())
	}
	return generationEncoding{Slot: g.slot, Spenders: g.spenders, Entries: data}
}

func (s *identities) decode(encoded []generationEncoding) error {
	for i, e := range encoded {
		if i > 0 && encoded[i-1].Slot >= e.Slot {
			return eris.Wrap(ErrInvalid, "decode ledger: generations are not sorted")
		}
		g := newGeneration(e.Slot)
		for data := e.Entries; len(data) > 0; {
			var err error
			if data, err = g.decodeEntry(data, e.Spenders); err != nil {
				return err
			}
		}
		if len(g.entries) == 0 || !slices.Equal(g.spenders, e.Spenders) {
			return eris.Wrap(ErrInvalid, "decode ledger: generation without identities, or spenders out of order")
		}
		s.generations = append(s.generations, g)
	}
	return nil
}

func (g *generation) decodeEntry(data []byte, spenders []record.Author) ([]byte, error) {
	if len(data) < hashBytes {
		return nil, eris.Wrap(ErrInvalid, "decode ledger: identity hash is truncated")
	}
	h := identityHash(data[:hashBytes])
	data = data[hashBytes:]
	var values [2]uint64
	for i := range values {
		v, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, eris.Wrap(ErrInvalid, "decode ledger: number of an identity is truncated")
		}
		values[i], data = v, data[n:]
	}
	if values[0] >= uint64(len(spenders)) {
		return nil, eris.Wrap(ErrInvalid, "decode ledger: identity of an unknown spender")
	}
	if _, ok := g.find(h); ok {
		return nil, eris.Wrap(ErrInvalid, "decode ledger: identity is repeated in a generation")
	}
	g.add(h, BilledReservation{Spender: spenders[values[0]], Reservation: values[1]})
	return data, nil
}
