package budget

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Bounds of the payloads. Every reader skips a record that exceeds a bound.
const (
	// MaxAmount bounds the tokens of one record and the sum of the top-ups of one team, so that sums of amounts stay far
	// below the range of uint64.
	MaxAmount = 1 << 50
	// MaxLineTokens bounds the prompt or the completion tokens of one bill line.
	MaxLineTokens = 1 << 32
	// MaxFrontiers bounds the frontiers of one record, so that a record stays below record.MaxBatchBytes.
	MaxFrontiers = 2048
	// MaxLines bounds the lines of one bill record.
	MaxLines = 512
	// MaxWitnesses bounds the witnesses of one holder.
	MaxWitnesses = 2

	maxNameBytes   = 128
	maxHolderBytes = 2*maxNameBytes + 22
)

// Errors of this package. They are compared with eris.Is.
var (
	ErrInvalid  = eris.New("invalid budget payload")
	ErrRejected = eris.New("budget record rejected by the ledger")
)

// HolderID identifies one epoch of a holder: VM, incarnation and epoch, separated by slashes.
type HolderID string

// NewHolderID returns the ID of the holder that author runs in an epoch.
func NewHolderID(author record.Author, epoch uint64) HolderID {
	return HolderID(author.VM + "/" + author.Incarnation + "/" + strconv.FormatUint(epoch, 10))
}

// Author returns the process that runs the holder.
func (id HolderID) Author() (record.Author, bool) {
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return record.Author{}, false
	}
	if _, err := strconv.ParseUint(parts[2], 10, 64); err != nil {
		return record.Author{}, false
	}
	return record.Author{VM: parts[0], Incarnation: parts[1]}, true
}

// Validate checks the syntax of the ID.
func (id HolderID) Validate() error {
	if len(id) > maxHolderBytes {
		return eris.Wrap(ErrInvalid, "holder ID too long")
	}
	if _, ok := id.Author(); !ok {
		return eris.Wrapf(ErrInvalid, "holder ID %q is not of the form vm/incarnation/epoch", string(id))
	}
	return nil
}

// TopUp adds prepaid tokens to the budget of a team. Each identity is applied once.
type TopUp struct {
	Identity string `json:"identity"`
	Team     string `json:"team"`
	Tokens   uint64 `json:"tokens"`
}

// Validate checks the bounds.
func (p TopUp) Validate() error {
	if err := checkName("identity", p.Identity); err != nil {
		return err
	}
	return checkTeamAmount(p.Team, p.Tokens)
}

// GrantRequest requests tokens from the pool of a team. The ledger decides how many are granted.
type GrantRequest struct {
	Holder HolderID `json:"holder"`
	Team   string   `json:"team"`
	// Wanted is the number of tokens that the holder wants in addition to Held.
	Wanted uint64 `json:"wanted"`
	// Held is what the holder can still issue for the team.
	Held uint64 `json:"held"`
	// Number starts at 1 and grows by one with each request of the holder for the team.
	Number uint64 `json:"number"`
}

// Validate checks the bounds.
func (p GrantRequest) Validate() error {
	if err := p.Holder.Validate(); err != nil {
		return err
	}
	if p.Held > MaxAmount || p.Number == 0 {
		return eris.Wrap(ErrInvalid, "held tokens or number of a grant request out of range")
	}
	return checkTeamAmount(p.Team, p.Wanted)
}

// Return gives tokens of a grant back to the pool.
type Return struct {
	Holder HolderID `json:"holder"`
	Team   string   `json:"team"`
	// Unissued tokens were never issued by the holder. Only the holder may return them.
	Unissued uint64 `json:"unissued,omitempty"`
	// Restored tokens are covered by the frontier; the author has them and will not use them. A spender may return them
	// after its holder was closed.
	Restored uint64 `json:"restored,omitempty"`
}

// Validate checks the bounds.
func (p Return) Validate() error {
	if err := p.Holder.Validate(); err != nil {
		return err
	}
	if p.Unissued > MaxAmount || p.Restored > MaxAmount {
		return eris.Wrap(ErrInvalid, "returned tokens out of range")
	}
	return checkTeamAmount(p.Team, p.Unissued+p.Restored)
}

// Frontier is the cumulative number of tokens that a holder may have issued for a team.
type Frontier struct {
	Team   string `json:"team"`
	Tokens uint64 `json:"tokens"`
}

// WitnessSet opens a holder or changes its witnesses. The author is the holder's process.
type WitnessSet struct {
	Holder HolderID `json:"holder"`
	// Number is 1 for the record that opens the holder, and one more for each change.
	Number uint64 `json:"number"`
	// Witnesses may be empty; then only the holder can close itself.
	Witnesses []record.Author `json:"witnesses"`
	// Frontiers are the highest frontiers that the holder requested from any witness.
	Frontiers []Frontier `json:"frontiers,omitempty"`
	// More is true when further records of the same change follow. The last one replaces the witnesses.
	More bool `json:"more,omitempty"`
}

// Validate checks the bounds.
func (p WitnessSet) Validate() error {
	if err := p.Holder.Validate(); err != nil {
		return err
	}
	if p.Number == 0 || len(p.Witnesses) > MaxWitnesses {
		return eris.Wrap(ErrInvalid, "number of a witness set is zero, or it has too many witnesses")
	}
	for i, w := range p.Witnesses {
		if err := checkName("witness", w.VM); err != nil {
			return err
		}
		if err := checkName("witness incarnation", w.Incarnation); err != nil {
			return err
		}
		if i > 0 && w == p.Witnesses[0] {
			return eris.Wrap(ErrInvalid, "witness named twice")
		}
	}
	return checkFrontiers(p.Frontiers)
}

// Seal states that its author acknowledges no further frontier of the holder, and lists the ones that it has
// acknowledged. A seal by the holder's own process closes the holder at exactly these frontiers.
type Seal struct {
	Holder    HolderID   `json:"holder"`
	Frontiers []Frontier `json:"frontiers,omitempty"`
	// More is true when further records of the same seal follow.
	More bool `json:"more,omitempty"`
}

// Validate checks the bounds.
func (p Seal) Validate() error {
	if err := p.Holder.Validate(); err != nil {
		return err
	}
	return checkFrontiers(p.Frontiers)
}

// BillLine is the bill of one answered request.
type BillLine struct {
	// Identity identifies the request within the team.
	Identity         string `json:"identity"`
	Team             string `json:"team"`
	Model            string `json:"model"`
	Version          string `json:"version"`
	PromptTokens     uint64 `json:"promptTokens"`
	CompletionTokens uint64 `json:"completionTokens"`
	// Spender and Reservation distinguish several answers to one request, also when another VM that keeps a copy of the
	// line appends it.
	Spender     record.Author `json:"spender"`
	Reservation uint64        `json:"reservation"`
	// At is the creation time of the line in whole milliseconds, the same in all its copies. The ledger refuses a line
	// that is older than IdentityRetention.
	At time.Time `json:"at"`
}

// Tokens returns the sum of prompt and completion tokens.
func (l BillLine) Tokens() uint64 { return l.PromptTokens + l.CompletionTokens }

// Validate checks the bounds.
func (l BillLine) Validate() error {
	for _, s := range []string{l.Identity, l.Team, l.Model, l.Version, l.Spender.VM, l.Spender.Incarnation} {
		if err := checkName("name of a bill line", s); err != nil {
			return err
		}
	}
	if l.PromptTokens > MaxLineTokens || l.CompletionTokens > MaxLineTokens {
		return eris.Wrap(ErrInvalid, "tokens of a bill line out of range")
	}
	return nil
}

// Bill carries the lines of answered requests.
type Bill struct {
	Lines []BillLine `json:"lines"`
}

// Validate checks the bounds.
func (p Bill) Validate() error {
	if len(p.Lines) == 0 || len(p.Lines) > MaxLines {
		return eris.Wrap(ErrInvalid, "bill has no lines or too many")
	}
	for _, l := range p.Lines {
		if err := l.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func checkName(what, s string) error {
	if s == "" || len(s) > maxNameBytes {
		return eris.Wrapf(ErrInvalid, "%s missing or too long", what)
	}
	return nil
}

func checkTeamAmount(team string, tokens uint64) error {
	if tokens == 0 || tokens > MaxAmount {
		return eris.Wrap(ErrInvalid, "number of tokens out of range")
	}
	return checkName("team", team)
}

func checkFrontiers(frontiers []Frontier) error {
	if len(frontiers) > MaxFrontiers {
		return eris.Wrap(ErrInvalid, "too many frontiers")
	}
	for i, f := range frontiers {
		if err := checkTeamAmount(f.Team, f.Tokens); err != nil {
			return err
		}
		if i > 0 && frontiers[i-1].Team >= f.Team {
			return eris.Wrap(ErrInvalid, "frontiers are not sorted by team")
		}
	}
	return nil
}
