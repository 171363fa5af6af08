package main

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/standin/engine"
)

type engineCommand struct {
	listenFlag
	Load            []modelVersion `help:"Versions loaded at each start, as MODEL:VERSION."`
	Role            string         `help:"Role at each start." default:"mixed"`
	FirstTokenDelay time.Duration  `help:"Time to the first token."`
	PrefillDelay    time.Duration  `help:"Additional time to the first token per prompt token that isn't cached."`
	TokenDelay      time.Duration  `help:"Time between two tokens."`
	CapacityTokens  int64          `help:"Memory in tokens; going over it crashes the engine. 0 means no limit."`
	MaxRunning      int            `help:"Size of the batch; 0 means no limit."`
	MaxWaiting      int            `help:"Size of the queue; 0 means no limit."`
	CrashMarker     string         `help:"Text in a prompt that crashes the engine."`
	RestartAfter    time.Duration  `help:"Time from a crash to the restart; 0 stays down."`
	CacheBlocks     int            `help:"Size of the prefix cache in blocks of 256 bytes."`
	EventLag        time.Duration  `help:"Delay of cache events."`
	EventGap        uint64         `help:"Every how many cache events one is lost; 0 loses none."`
	LoadLag         time.Duration  `help:"Age of load reports."`
	LoadDelay       time.Duration  `help:"Time to load a version or an adapter."`
	IgnoreFence     bool           `help:"Carry out orders with stale fencing numbers."`
}

// modelVersion is a value of the flag Load, written as MODEL:VERSION.
type modelVersion engine.ModelVersion

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *modelVersion) UnmarshalText(text []byte) error {
	model, version, ok := strings.Cut(string(text), ":")
	if !ok || model == "" || version == "" {
		return eris.Errorf("version %q doesn't have the form MODEL:VERSION", text)
	}
	v.Model, v.Version = model, version
	return nil
}

// Run serves the engine.
func (c engineCommand) Run() error {
	cfg := engine.Config{
		Role:              c.Role,
		FirstTokenDelay:   c.FirstTokenDelay,
		PrefillDelay:      c.PrefillDelay,
		TokenDelay:        c.TokenDelay,
		CapacityTokens:    c.CapacityTokens,
		MaxRunning:        c.MaxRunning,
		MaxWaiting:        c.MaxWaiting,
		CrashMarker:       c.CrashMarker,
		RestartAfter:      c.RestartAfter,
		CacheBlocks:       c.CacheBlocks,
		EventLag:          c.EventLag,
		EventDropInterval: c.EventGap,
		LoadLag:           c.LoadLag,
		LoadDelay:         c.LoadDelay,
		IgnoreFence:       c.IgnoreFence,
	}
	for _, v := range c.Load {
		cfg.Versions = append(cfg.Versions, engine.ModelVersion(v))
	}
	return c.run("engine", engine.New(cfg))
}
