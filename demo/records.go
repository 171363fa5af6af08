package demo

import (
	"encoding/json"

	"ibiswinch/standin/platform"
)

// The types of this file decode the records of the log. They don't use those of packages budget and rollout, so that a
// fault there isn't repeated here and hidden.

type logRecord struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

type billLine struct {
	Identity         string `json:"identity"`
	Team             string `json:"team"`
	Version          string `json:"version"`
	PromptTokens     uint64 `json:"promptTokens"`
	CompletionTokens uint64 `json:"completionTokens"`
}

func (l billLine) tokens() uint64 { return l.PromptTokens + l.CompletionTokens }

type topUp struct {
	Identity string `json:"identity"`
	Team     string `json:"team"`
	Tokens   uint64 `json:"tokens"`
}

// identity identifies a bill line or a top-up; names are unique within a team.
type identity struct{ team, name string }

// ledgerState is the content of the ledger stream.
type ledgerState struct {
	// lines has the first line of each identity.
	lines map[identity]billLine
	// duplicates counts the further lines of an identity, which bill nothing.
	duplicates int
	billed     map[string]uint64
	// topUps has the sum of the top-ups of each team, each identity counted once.
	topUps map[string]uint64
}

// readRecords calls handle for each record. Entries that aren't a batch are skipped, as every reader of the log does.
func readRecords(entries []platform.Entry, handle func(logRecord)) {
	for _, e := range entries {
		var batch []logRecord
		if json.Unmarshal(e.Data, &batch) != nil {
			continue
		}
		for _, r := range batch {
			handle(r)
		}
	}
}

func readLedger(p *platform.Server) ledgerState {
	l := ledgerState{lines: map[identity]billLine{}, billed: map[string]uint64{}, topUps: map[string]uint64{}}
	seenTopUps := map[identity]bool{}
	readRecords(p.Entries("ledger.0"), func(r logRecord) {
		switch r.Kind {
		case "bill":
			var bill struct {
				Lines []billLine `json:"lines"`
			}
			_ = json.Unmarshal(r.Body, &bill)
			for _, line := range bill.Lines {
				l.add(line)
			}
		case "topUp":
			var t topUp
			_ = json.Unmarshal(r.Body, &t)
			if id := (identity{t.Team, t.Identity}); !seenTopUps[id] {
				seenTopUps[id] = true
				l.topUps[t.Team] += t.Tokens
			}
		}
	})
	return l
}

func (l *ledgerState) add(line billLine) {
	id := identity{line.Team, line.Identity}
	if _, known := l.lines[id]; known {
		l.duplicates++
		return
	}
	l.lines[id] = line
	l.billed[line.Team] += line.tokens()
}

// changeState is the state of one model's version change in the changes stream.
type changeState struct {
	opened, done, takenBack bool
}

func readChanges(p *platform.Server) map[string]changeState {
	models := map[string]changeState{}
	modelByChange := map[string]string{}
	readRecords(p.Entries("changes"), func(r logRecord) {
		var body struct {
			Change string `json:"change"`
			Rule   struct {
				Model string `json:"model"`
			} `json:"rule"`
			ConfigVersion json.Number `json:"configVersion"`
		}
		_ = json.Unmarshal(r.Body, &body)
		if r.Kind == "openChange" {
			modelByChange[body.Rule.Model+"@"+body.ConfigVersion.String()] = body.Rule.Model
		}
		model := body.Rule.Model
		if model == "" {
			model = modelByChange[body.Change]
		}
		c := models[model]
		c.opened = c.opened || r.Kind == "openChange"
		c.done = c.done || r.Kind == "done"
		c.takenBack = c.takenBack || r.Kind == "takeBack"
		models[model] = c
	})
	return models
}
