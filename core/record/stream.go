package record

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxTimeStep bounds how far one record moves the log time, so that a process with a wrong clock can't expire state
// early.
const maxTimeStep = 10 * time.Second

// Records with a time outside these years don't move the log time.
const (
	firstYear = 2000
	lastYear  = 9000
)

// snapshotPartBytes is the largest size of one part of a snapshot.
const snapshotPartBytes = 256 << 10

// Fold is a state machine that is driven by the records of one stream: processes that apply the same records in log
// order have the same state. Its name is that of the operation in event sourcing. To fold a record means to apply it.
type Fold interface {
	// Apply applies one record. An error says why the record was skipped; the state is then unchanged.
	Apply(at Position, r Record) error
	// Encode returns the state in a canonical encoding: equal states have equal encodings in all processes.
	Encode() ([]byte, error)
	// Decode replaces the state by an encoded one.
	Decode(data []byte) error
}

// Position is the place of a record in a stream.
type Position struct {
	// Offset is the offset of the entry in the log.
	Offset uint64
	// Index is the place within the entry.
	Index int
	// LogTime is derived from the times in the stream's records, so that it is the same in all processes. It never
	// decreases.
	LogTime time.Time
}

// Skipped is a record that was skipped, or an entry if Index is -1, and the reason.
type Skipped struct {
	Offset uint64
	Index  int
	Err    error
}

// SnapshotPart is the payload of a snapshot record.
type SnapshotPart struct {
	// Base is the offset of the first entry that the snapshot does not cover.
	Base uint64 `json:"base"`
	// Index is the index of the part, from 0 to Count-1.
	Index int `json:"index"`
	Count int `json:"count"`
	// SHA256 is the hex digest of the whole encoding.
	SHA256 string `json:"sha256"`
	Data   []byte `json:"data"`
}

// Validate checks the bounds of the part.
func (p SnapshotPart) Validate() error {
	if p.Count < 1 || p.Index < 0 || p.Index >= p.Count {
		return eris.New("snapshot part has an index out of range")
	}
	if len(p.SHA256) != 2*sha256.Size {
		return eris.New("snapshot digest has the wrong length")
	}
	if len(p.Data) > snapshotPartBytes {
		return eris.New("snapshot part is too large")
	}
	return nil
}

// Stream applies the entries of one stream of the log to a Fold. It drops duplicates, skips invalid records in the same
// way in every process, and reads and writes snapshots. A Stream is not safe for concurrent use.
type Stream struct {
	fold Fold
	// next is the offset of the next entry to read.
	next uint64
	// lastSequences holds the highest applied sequence of each author. Records that the fold skipped count as applied.
	lastSequences map[Author]uint64
	logTime       time.Time
	// halted is set once a record of a newer fold version was read; nothing is applied afterwards.
	halted error
	// waitingForSnapshot is true while entries are missing that were trimmed from the log, until a snapshot was read that
	// covers them.
	waitingForSnapshot bool
	// oldest is the oldest offset that the log is known to hold. A snapshot with a lower base can't be used, since
	// entries after it are missing.
	oldest uint64
	// sinceSnapshot counts the entries after the newest complete snapshot. Entries that hold only parts of snapshots
	// don't count, since a snapshot of many parts would otherwise cause the next one.
	sinceSnapshot uint64
	parts         snapshotParts
}

// snapshotParts holds the parts of a snapshot that were read so far.
type snapshotParts struct {
	digest   string
	base     uint64
	parts    [][]byte
	received int
}

// NewStream returns a stream that starts at offset 0 and applies records to fold.
func NewStream(fold Fold) *Stream {
	return &Stream{fold: fold, lastSequences: map[Author]uint64{}}
}

// Next returns the offset to read next.
func (s *Stream) Next() uint64 { return s.next }

// Halted returns why the stream stopped applying records, or nil.
func (s *Stream) Halted() error { return s.halted }

// WaitingForSnapshot reports whether the stream needs a snapshot, since entries that were not read were trimmed from
// the log.
func (s *Stream) WaitingForSnapshot() bool { return s.waitingForSnapshot }

// LogTime returns the log time, see Position.
func (s *Stream) LogTime() time.Time { return s.logTime }

// LastSequence returns the highest applied sequence of author.
func (s *Stream) LastSequence(author Author) uint64 { return s.lastSequences[author] }

// EntriesSinceSnapshot returns the number of entries after the newest complete snapshot, without those that hold only
// parts of snapshots.
func (s *Stream) EntriesSinceSnapshot() uint64 { return s.sinceSnapshot }

// SetOldest sets the oldest offset that the log still holds. If entries that were not read are gone, the stream waits
// for a snapshot.
func (s *Stream) SetOldest(oldest uint64) {
	s.oldest = max(s.oldest, oldest)
	if oldest <= s.next {
		return
	}
	s.waitingForSnapshot = true
	s.next = oldest
	s.parts = snapshotParts{}
}

// Apply applies the records of the entry at offset, which must be Next, and returns what was skipped.
func (s *Stream) Apply(offset uint64, data []byte) []Skipped {
	if s.halted != nil || offset != s.next {
		return nil
	}
	records, err := DecodeBatch(data)
	if err != nil {
		s.next++
		return []Skipped{{Offset: offset, Index: -1, Err: err}}
	}
	// Versions are checked before any record of the entry is applied, so that the stream stops between entries.
	for _, r := range records {
		if r.Version > FoldVersion {
			s.halted = eris.Wrapf(ErrNewerFoldVersion, "offset %d has version %d", offset, r.Version)
			return []Skipped{{Offset: offset, Index: -1, Err: s.halted}}
		}
	}
	s.next++
	if slices.ContainsFunc(records, func(r Record) bool { return r.Kind != KindSnapshot }) {
		s.sinceSnapshot++
	}
	var skipped []Skipped
	for i, r := range records {
		restored, err := s.applyRecord(Position{Offset: offset, Index: i}, r)
		if err != nil {
			skipped = append(skipped, Skipped{Offset: offset, Index: i, Err: err})
		}
		if restored {
			return skipped
		}
	}
	return skipped
}

func (s *Stream) applyRecord(at Position, r Record) (restored bool, err error) {
	if err := r.Validate(); err != nil {
		return false, err
	}
	if !s.waitingForSnapshot {
		if r.Sequence <= s.lastSequences[r.Author] {
			return false, nil
		}
		s.lastSequences[r.Author] = r.Sequence
	}
	if r.Kind == KindSnapshot {
		return s.addPart(r)
	}
	if s.waitingForSnapshot {
		return false, nil
	}
	s.advanceTime(r.Time)
	at.LogTime = s.logTime
	return false, s.fold.Apply(at, r)
}

func (s *Stream) advanceTime(t time.Time) {
	// A log time that JSON can't represent would make the state impossible to encode.
	if year := t.UTC().Year(); year < firstYear || year > lastYear {
		return
	}
	switch {
	case s.logTime.IsZero():
		s.logTime = t.UTC()
	case t.After(s.logTime.Add(maxTimeStep)):
		s.logTime = s.logTime.Add(maxTimeStep)
	case t.After(s.logTime):
		s.logTime = t.UTC()
	}
}

// addPart adds a part of a snapshot and restores the snapshot when it is complete. Other entries may lie between the
// parts of a snapshot; a part of another snapshot drops the parts read so far.
func (s *Stream) addPart(r Record) (restored bool, err error) {
	part, err := Body[SnapshotPart](r)
	if err != nil {
		return false, err
	}
	if part.SHA256 != s.parts.digest || part.Base != s.parts.base || part.Count != len(s.parts.parts) {
		s.parts = snapshotParts{digest: part.SHA256, base: part.Base, parts: make([][]byte, part.Count)}
	}
	if s.parts.parts[part.Index] == nil {
		s.parts.parts[part.Index] = part.Data
		s.parts.received++
	}
	if s.parts.received < part.Count {
		return false, nil
	}
	return s.finishSnapshot()
}

func (s *Stream) finishSnapshot() (restored bool, err error) {
	parts := s.parts
	s.parts = snapshotParts{}
	var encoded []byte
	for _, p := range parts.parts {
		encoded = append(encoded, p...)
	}
	sum := sha256.Sum256(encoded)
	if hex.EncodeToString(sum[:]) != parts.digest {
		return false, eris.Wrap(ErrInvalid, "snapshot digest does not match")
	}
	s.sinceSnapshot = 0
	if !s.waitingForSnapshot || parts.base < s.oldest {
		return false, nil
	}
	if err := s.restore(encoded, parts.base); err != nil {
		return false, err
	}
	return true, nil
}

// streamState is the encoding of a stream in a snapshot.
type streamState struct {
	LogTime time.Time       `json:"logTime"`
	Authors []authorState   `json:"authors"`
	Fold    json.RawMessage `json:"fold"`
}

type authorState struct {
	Author
	Sequence uint64 `json:"sequence"`
}

// restore replaces the state of the stream by an encoded one that covers the entries before base.
func (s *Stream) restore(encoded []byte, base uint64) error {
	var state streamState
	if err := json.Unmarshal(encoded, &state); err != nil {
		return eris.Wrapf(ErrInvalid, "snapshot: %v", err)
	}
	if err := s.fold.Decode(state.Fold); err != nil {
		return eris.Wrapf(ErrInvalid, "snapshot: %v", err)
	}
	s.lastSequences = make(map[Author]uint64, len(state.Authors))
	for _, a := range state.Authors {
		s.lastSequences[a.Author] = a.Sequence
	}
	s.logTime = state.LogTime
	s.next = base
	s.waitingForSnapshot = false
	return nil
}

// Snapshot encodes the state after all entries before Next, split into parts.
func (s *Stream) Snapshot() ([]SnapshotPart, error) {
	encoded, err := s.encode()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(encoded)
	digest := hex.EncodeToString(sum[:])
	count := (len(encoded) + snapshotPartBytes - 1) / snapshotPartBytes
	parts := make([]SnapshotPart, 0, count)
	for i := range count {
		end := min((i+1)*snapshotPartBytes, len(encoded))
		parts = append(parts, SnapshotPart{
			Base:   s.next,
			Index:  i,
			Count:  count,
			SHA256: digest,
			Data:   encoded[i*snapshotPartBytes : end],
		})
	}
	return parts, nil
}

func (s *Stream) encode() ([]byte, error) {
	fold, err := s.fold.Encode()
	if err != nil {
		return nil, eris.Wrap(err, "encode state of the stream")
	}
	state := streamState{LogTime: s.logTime, Fold: fold, Authors: make([]authorState, 0, len(s.lastSequences))}
	for _, a := range sortedAuthors(s.lastSequences) {
		state.Authors = append(state.Authors, authorState{Author: a, Sequence: s.lastSequences[a]})
	}
	data, err := json.Marshal(state)
	if err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	return data, nil
}
