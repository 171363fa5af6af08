package peer

import (
	"context"
	"math"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"ibiswinch/core/cost"
)

const (
	// Speeds are sent as whole numbers of these parts.
	speedSumUnit   = 64
	speedCountUnit = 16
	// maxLoadValue bounds each number of a load, and maxSpeedCount the number of observations.
	maxLoadValue  = 1 << 40
	maxSpeedCount = 1 << 16
	// maxSenderBytes bounds the names in a report.
	maxSenderBytes = 128
)

// errInvalidLoads is wrapped by the errors of loads that no entry VM sends.
var errInvalidLoads = eris.New("invalid loads")

// ExchangeLoads implements Pool.
func (s poolService) ExchangeLoads(_ context.Context, r *ExchangeLoadsRequest) (*ExchangeLoadsReply, error) {
	loads, err := decodeLoads(r.GetLoads())
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	if r.GetSender() == "" || len(r.GetSender()) > maxSenderBytes || len(r.GetDomain()) > maxSenderBytes {
		return nil, twirp.InvalidArgument.Error("sender missing or name too long")
	}
	known := s.pool.ExchangeLoads(cost.Report{Sender: r.GetSender(), Domain: r.GetDomain(), Loads: loads})
	return &ExchangeLoadsReply{Loads: EncodeLoads(known)}, nil
}

// ExchangeLoads tells the entry VM at addr of open work at servers and returns what it knows of that of others.
func (c *PoolClient) ExchangeLoads(ctx context.Context, addr netip.AddrPort, report cost.Report) ([]cost.Load, error) {
	request := &ExchangeLoadsRequest{Sender: report.Sender, Domain: report.Domain, Loads: EncodeLoads(report.Loads)}
	reply, err := c.clientFor(addr).ExchangeLoads(ctx, request)
	if err != nil {
		return nil, eris.Wrap(err, "exchange loads")
	}
	return decodeLoads(reply.GetLoads())
}

// EncodeLoads converts loads to their protobuf message.
func EncodeLoads(loads []cost.Load) *ServerLoads {
	m := &ServerLoads{}
	for _, l := range loads {
		m.Server = append(m.Server, l.Server)
		m.Running = append(m.Running, bounded(l.Running))
		m.Waiting = append(m.Waiting, bounded(l.Waiting))
		m.Output = append(m.Output, bounded(l.Output))
		m.Sent = append(m.Sent, bounded(l.Sent))
		m.SpeedSum = append(m.SpeedSum, int64(math.Round(l.SpeedSum*speedSumUnit)))
		m.SpeedCount = append(m.SpeedCount, uint64(math.Round(l.SpeedCount*speedCountUnit)))
	}
	return m
}

// bounded brings a number into the range of a load. Callers may claim prompts of any length.
func bounded(v int64) uint64 { return uint64(min(max(v, 0), maxLoadValue)) }

// decodeLoads fails if the lists aren't equally long or are too long, or if numbers are out of range.
func decodeLoads(m *ServerLoads) ([]cost.Load, error) {
	n := len(m.GetServer())
	if n > cost.MaxLoads {
		return nil, eris.Wrapf(errInvalidLoads, "%d servers", n)
	}
	for _, list := range [][]uint64{m.GetRunning(), m.GetWaiting(), m.GetOutput(), m.GetSent(), m.GetSpeedCount()} {
		if len(list) != n || len(m.GetSpeedSum()) != n {
			return nil, eris.Wrap(errInvalidLoads, "lists of different lengths")
		}
		for _, v := range list {
			if v > maxLoadValue {
				return nil, eris.Wrapf(errInvalidLoads, "number %d", v)
			}
		}
	}
	loads := make([]cost.Load, n)
	for i := range loads {
		count := min(float64(m.SpeedCount[i])/speedCountUnit, maxSpeedCount)
		bound := count * cost.MaxLogRatio
		loads[i] = cost.Load{
			Server: m.Server[i], Running: int64(m.Running[i]), Waiting: int64(m.Waiting[i]), Output: int64(m.Output[i]), Sent: int64(m.Sent[i]),
			SpeedSum: min(max(float64(m.SpeedSum[i])/speedSumUnit, -bound), bound), SpeedCount: count,
		}
	}
	return loads, nil
}
