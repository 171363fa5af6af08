package engine

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/io/internal/roundtrip"
)

// LoadReport is the load report of an engine. All fields but Draining and Incarnation may be out of date.
type LoadReport struct {
	Time    time.Time `json:"time"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// HeldTokens counts the prompt, prefix and generated tokens of running requests.
	HeldTokens int64 `json:"heldTokens"`
	// WaitingTokens counts the prompt and prefix tokens of waiting requests.
	WaitingTokens int64 `json:"waitingTokens"`
	// CapacityTokens is the limit of HeldTokens; 0 means no limit.
	CapacityTokens int64 `json:"capacityTokens"`
	Draining       bool  `json:"draining"`
	// Incarnation counts the starts of the engine.
	Incarnation int `json:"incarnation"`
}

// Validate checks that all numbers are in range.
func (l LoadReport) Validate() error {
	for _, n := range []int64{l.HeldTokens, l.WaitingTokens, l.CapacityTokens, int64(l.Running), int64(l.Waiting)} {
		if n < 0 || n > maxTokens {
			return eris.Errorf("load report with the number %d", n)
		}
	}
	return nil
}

// maxTokens bounds the numbers of tokens in answers of an engine, so that sums of them don't overflow.
const maxTokens = 1 << 48

// BlockBytes is the size of a cached block: block i covers the first (i+1)*BlockBytes bytes of a prompt's text.
const BlockBytes = 256

// BlockID identifies a cached block by the FNV-1a hash of the text from the start of the prompt to the block's end.
type BlockID uint64

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *BlockID) UnmarshalText(text []byte) error {
	id, err := strconv.ParseUint(string(text), 16, 64)
	*b = BlockID(id)
	return err
}

// BlockIDs returns the IDs of the full blocks of a request's prompt. The text of a chat is the role, a newline, the
// content and a newline of each message.
func (r Request) BlockIDs() []BlockID {
	hash := fnv.New64a()
	var ids []BlockID
	blockBytes := 0
	write := func(text string) {
		for text != "" {
			n := min(BlockBytes-blockBytes, len(text))
			_, _ = hash.Write([]byte(text[:n]))
			text = text[n:]
			if blockBytes += n; blockBytes == BlockBytes {
				ids = append(ids, BlockID(hash.Sum64()))
				blockBytes = 0
			}
		}
	}
	write(r.Prompt)
	for _, m := range r.Messages {
		write(m.Role)
		write("\n")
		write(m.Content)
		write("\n")
	}
	return ids
}

// CacheEventType says what happened to a cached block.
type CacheEventType string

// Types of cache events.
const (
	CacheEventStored  CacheEventType = "stored"
	CacheEventRemoved CacheEventType = "removed"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	// Sequence increases with each event. A gap in the numbers means lost events.
	Sequence uint64         `json:"sequence"`
	Type     CacheEventType `json:"type"`
	Block    BlockID        `json:"block"`
	Time     time.Time      `json:"time"`
}

// Validate checks the event by itself.
func (e CacheEvent) Validate() error {
	if e.Type != CacheEventStored && e.Type != CacheEventRemoved {
		return eris.Errorf("event of unknown type %q", string(e.Type))
	}
	return nil
}

// CacheEventPage is the response to a read of cache events. Events that are invalid or out of place are left out, as if
// they had been lost.
type CacheEventPage struct {
	// Incarnation counts the starts of the engine. The cache is empty after each, and sequences start at 0.
	Incarnation int `json:"incarnation"`
	// Next is the sequence number to read from next.
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *CacheEventPage) UnmarshalJSON(data []byte) error {
	var wire struct {
		Incarnation int             `json:"incarnation"`
		Next        *uint64         `json:"next"`
		Events      json.RawMessage `json:"events"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	if wire.Next == nil {
		return eris.New("page of cache events without next")
	}
	events, err := roundtrip.DecodeEntries[CacheEvent](wire.Events)
	if err != nil {
		return err
	}
	*p = CacheEventPage{Incarnation: wire.Incarnation, Next: *wire.Next}
	for _, e := range events {
		if n := len(p.Events); e.Sequence < p.Next && (n == 0 || e.Sequence > p.Events[n-1].Sequence) {
			p.Events = append(p.Events, e)
		}
	}
	return nil
}

// Validate implements the check of an answer. Events were checked when they were decoded.
func (CacheEventPage) Validate() error { return nil }

// ModelVersion identifies a version of a model, or an adapter of a version.
type ModelVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// OrderAction is the action of an order.
type OrderAction string

// Actions of orders.
const (
	OrderLoadVersion   OrderAction = "loadVersion"
	OrderUnloadVersion OrderAction = "unloadVersion"
	OrderLoadAdapter   OrderAction = "loadAdapter"
	OrderUnloadAdapter OrderAction = "unloadAdapter"
	OrderSetRole       OrderAction = "setRole"
)

// Order is an instruction to an engine to load or unload a version or adapter, or to change its role.
type Order struct {
	// Fence is the fencing number: the offset of the decision in the log. Some engines ignore it, so the caller must
	// compare the engine's state with the orders.
	Fence  uint64      `json:"fence"`
	Action OrderAction `json:"action"`
	ModelVersion
	// Role is for OrderSetRole only, and ModelVersion for the other actions only.
	Role string `json:"role,omitempty"`
}

// LoadState says whether a version is loaded.
type LoadState string

// States of versions.
const (
	LoadStateLoading LoadState = "loading"
	LoadStateLoaded  LoadState = "loaded"
)

// VersionState is one version or adapter of an engine.
type VersionState struct {
	ModelVersion
	State LoadState `json:"state"`
}

// State is the state of an engine, with the versions and adapters that it has loaded.
type State struct {
	// Fence is the highest fencing number that the engine has seen since it started.
	Fence       uint64         `json:"fence"`
	Role        string         `json:"role"`
	Draining    bool           `json:"draining"`
	Incarnation int            `json:"incarnation"`
	Versions    []VersionState `json:"versions"`
	Adapters    []VersionState `json:"adapters"`
}

// Validate checks the states of the versions.
func (s State) Validate() error {
	for _, list := range [][]VersionState{s.Versions, s.Adapters} {
		for _, v := range list {
			if v.Model == "" || v.Version == "" {
				return eris.New("version without a name")
			}
			if v.State != LoadStateLoading && v.State != LoadStateLoaded {
				return eris.Errorf("version in unknown state %q", string(v.State))
			}
		}
	}
	return nil
}
