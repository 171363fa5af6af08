package main

import (
	"time"

	"ibiswinch/standin/platform"
)

type platformCommand struct {
	listenFlag
	MaxBatchBytes    int64         `help:"Size limit of one append, in bytes." default:"1048576"`
	RetainCount      int           `help:"Entries kept per stream; 0 keeps all."`
	RetainAge        time.Duration `help:"Age up to which entries are kept; 0 keeps all."`
	WeightsPerSecond float64       `help:"Rate limit of the weight store; 0 means none."`
	WeightBurst      int           `help:"Reads of the weight store that may come at once." default:"1"`
}

// Run serves the platform.
func (c platformCommand) Run() error {
	return c.run("platform", platform.New(platform.Config{
		MaxBatchBytes:        c.MaxBatchBytes,
		RetainCount:          c.RetainCount,
		RetainAge:            c.RetainAge,
		WeightReadsPerSecond: c.WeightsPerSecond,
		WeightReadBurst:      c.WeightBurst,
	}))
}
