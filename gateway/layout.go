package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// layoutKey is the key of the ledger's layout.
	layoutKey = "ledger"
	// maxLedgerPartitions bounds the recorded number of partitions, against records that no entry VM writes.
	maxLedgerPartitions = 1024
)

// layout is the division of the ledger that all entry VMs use. The first one of a fleet records it, and it never changes: with
// another number of partitions, most teams would have another one, which doesn't list what they have used.
type layout struct {
	Partitions int `json:"partitions"`
}

var (
	// errNoLayout is returned if the log has no layout.
	errNoLayout = eris.New("the layout of the ledger isn't recorded")
	// errInvalidLayout is wrapped by the errors of layouts that no entry VM writes.
	errInvalidLayout = eris.New("invalid layout of the ledger")
)

// openPartitions opens the partitions of the recorded layout. If there is none it records the one of the settings.
func (b *budgetController) openPartitions(ctx context.Context) {
	begun, logged := b.cfg.Now(), false
	for ctx.Err() == nil {
		var l layout
		err := b.cfg.protect("agree on the layout", func() (err error) {
			l, err = b.agreeOnLayout(ctx, begun)
			return err
		})
		if err == nil {
			b.open(l.Partitions)
			return
		}
		var conflict *keyed.ConflictError
		if !logged && ctx.Err() == nil && !errors.Is(err, errNoLayout) && !errors.As(err, &conflict) {
			logged = true
			b.cfg.Events.Event(event.LogUnavailable, apexlog.Fields{"stream": string(keyed.Layout), "error": err.Error()})
		}
		pause(ctx, retryPause)
	}
}

// agreeOnLayout returns the recorded layout, or records that of the settings. In a restored log one may be missing that
// other entry VMs use, so they get time to write it again.
func (b *budgetController) agreeOnLayout(ctx context.Context, begun time.Time) (layout, error) {
	recorded, batch, err := b.readLayout(ctx)
	if !errors.Is(err, errNoLayout) {
		return recorded, err
	}
	if batch.Era > firstEra && b.cfg.Now().Sub(begun) < escrow.RewriteTimeout {
		return layout{}, err
	}
	own := layout{Partitions: min(max(b.cfg.LedgerPartitions, 1), maxLedgerPartitions)}
	return own, b.writeLayout(ctx, own, batch)
}

func (b *budgetController) readLayout(ctx context.Context) (layout, keyed.Batch, error) {
	batch, err := b.cfg.Log.Latest(ctx, keyed.Partition{Stream: keyed.Layout})
	if err != nil {
		return layout{}, batch, err
	}
	for _, r := range batch.Records {
		if r.Key != layoutKey {
			continue
		}
		var l layout
		if err := json.Unmarshal(r.Value, &l); err != nil {
			return layout{}, batch, eris.Wrap(errInvalidLayout, err.Error())
		}
		if l.Partitions < 1 || l.Partitions > maxLedgerPartitions {
			return layout{}, batch, eris.Wrapf(errInvalidLayout, "%d partitions", l.Partitions)
		}
		return l, batch, nil
	}
	return layout{}, batch, errNoLayout
}

// writeLayout records a layout on the condition that nobody has since the log was read.
func (b *budgetController) writeLayout(ctx context.Context, l layout, read keyed.Batch) error {
	value, err := json.Marshal(l)
	if err != nil {
		return eris.Wrap(err, "encode layout")
	}
	appended, err := b.cfg.Log.Append(ctx, keyed.Partition{Stream: keyed.Layout}, []keyed.Record{{Key: layoutKey, Value: value}}, &read.Next)
	if err == nil && appended.Era != read.Era {
		return errEraChanged
	}
	return err
}

// runKeepLayout writes the layout again whenever a restored log lacks it.
func (b *budgetController) runKeepLayout(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.layoutSuspect:
		}
		for ctx.Err() == nil {
			err := b.cfg.protect("keep the layout", func() error { return b.keepLayout(ctx) })
			if err == nil || errors.Is(err, errInvalidLayout) {
				break
			}
			pause(ctx, retryPause)
		}
	}
}

// keepLayout writes the layout if the log lacks it.
func (b *budgetController) keepLayout(ctx context.Context) error {
	_, batch, err := b.readLayout(ctx)
	if errors.Is(err, errNoLayout) {
		err = b.writeLayout(ctx, layout{Partitions: len(b.partitions)}, batch)
	}
	return err
}

// checkLayout requests a look whether a restored log has the layout.
func (b *budgetController) checkLayout() {
	select {
	case b.layoutSuspect <- struct{}{}:
	default:
	}
}
