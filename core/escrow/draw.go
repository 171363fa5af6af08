package escrow

import "time"

const (
	// A draw brings a block: the use of the time until the next draw has been answered, which is blockAnswers times what an
	// answer takes, and at least minBlockTime. maxBlockTime bounds it, as all blocks are lost if their holders die.
	blockAnswers = 3
	minBlockTime = 100 * time.Millisecond
	maxBlockTime = 500 * time.Millisecond
	// A block is at most the budget divided by blockDivisor, and what is unused of it divided by unusedBlockDivisor.
	blockDivisor       = 200
	unusedBlockDivisor = 16
	refillBlockPercent = 50
	// slowWrite is the time of a write from which a primary draws from other primaries ahead of need.
	slowWrite = 150 * time.Millisecond
	// minPatience and maxPatience bound how long an answer is awaited before another entry VM is asked as well. One that lacks
	// tokens writes to the store first, and each that is asked too early does so in vain.
	minPatience = 60 * time.Millisecond
	maxPatience = 100 * time.Millisecond
	// initialAnswerTime is assumed before the first answer.
	initialAnswerTime = 10 * time.Millisecond
	// answerWeight is the weight of the earlier answers in the moving average, against 1 of the newest.
	answerWeight = 3
	// restTime is how long an entry VM that gave less than was needed, or whose answer was late, is asked after the others.
	restTime = 250 * time.Millisecond
)

// MaxBlock returns Policy.MaxBlock for a team of which some tokens of the limit are unused.
func MaxBlock(limit, unused int64) int64 {
	return max(min(limit/blockDivisor, unused/unusedBlockDivisor), 0)
}

// WritesSoon reports whether a call, or a draw of another entry VM, may wait for a write that reserves tokens.
func (p Policy) WritesSoon() bool { return !p.Secondary && p.WriteTime < slowWrite }

// block returns the number of unused tokens that the account should have to get by until the next draw was answered, 0 if a
// large call needs more: pieces of tokens at many entry VMs are lost for calls.
func (a *Account) block(now time.Time, policy Policy) int64 {
	a.decayRate(now)
	d := min(max(blockAnswers*policy.DrawTime, minBlockTime), maxBlockTime)
	block := min(int64(max(a.heldRate, a.riseRate)*d.Seconds()), policy.MaxBlock)
	if block < largeCallTokens {
		return 0
	}
	return block
}

// Shortfall returns how many tokens are missing for a call and all others that wait (need), and for a block besides (want).
// If none waits it returns what the block lacks, 0 as long as refillBlockPercent of it are there.
func (a *Account) Shortfall(now time.Time, tokens int64, policy Policy) (need, want int64) {
	left, block := max(a.Available(now), 0), a.block(now, policy)
	if tokens > 0 || a.waiting > 0 {
		need = max(a.waiting, tokens) - left
		return need, need + block
	}
	if left >= block*refillBlockPercent/100 {
		return 0, 0
	}
	return block - left, block - left
}

// DrawsAhead reports whether tokens should be drawn before a call lacks them. A primary whose writes are quick reserves
// instead.
func (a *Account) DrawsAhead(now time.Time, policy Policy) bool {
	if policy.WritesSoon() {
		return false
	}
	need, _ := a.Shortfall(now, 0, policy)
	return need > 0
}

// Asker remembers how the other entry VMs answer the draws of a team. The zero value is ready for use. It is not safe for
// concurrent use.
type Asker struct {
	// answerTime is a moving average of what answers take.
	answerTime time.Duration
	// restsUntil holds the entry VMs that are asked after the others.
	restsUntil map[string]time.Time
}

// AnswerTime returns how long an answer takes at present.
func (k *Asker) AnswerTime() time.Duration {
	if k.answerTime == 0 {
		return initialAnswerTime
	}
	return k.answerTime
}

// Patience returns how long an answer is awaited before another entry VM is asked as well. The late answer counts all the
// same.
func (k *Asker) Patience() time.Duration {
	return min(max(2*k.AnswerTime(), minPatience), maxPatience)
}

// Answered records that an entry VM gave tokens of which need were needed.
func (k *Asker) Answered(now time.Time, name string, took time.Duration, need, given int64) {
	k.answerTime = (answerWeight*k.AnswerTime() + max(took, time.Millisecond)) / (answerWeight + 1)
	if given < need {
		k.rest(now, name)
	}
}

// Late records that an answer wasn't there in time.
func (k *Asker) Late(now time.Time, name string) { k.rest(now, name) }

func (k *Asker) rest(now time.Time, name string) {
	if k.restsUntil == nil {
		k.restsUntil = map[string]time.Time{}
	}
	k.restsUntil[name] = now.Add(restTime)
}

// Rests reports whether an entry VM is asked after the others, as it had too few tokens lately or answered late.
func (k *Asker) Rests(now time.Time, name string) bool { return now.Before(k.restsUntil[name]) }
