package rollout

import (
	"math/bits"
	"time"
)

// Layout of histogram: 8 buckets per doubling, from 1 ms to 65 s, so that a bucket bound is off by at most 1/8.
const (
	bucketsPerDoubling = 8
	histogramBuckets   = 128
	// histogramMaxSamples is the number of samples at which the counts are halved, so that the percentile follows
	// roughly the last thousand samples.
	histogramMaxSamples = 2048
	// histogramMinSamples is the number of samples below which no percentile is known.
	histogramMinSamples = 20
)

// histogram counts latencies of the old version on one route. The zero value is empty.
type histogram struct {
	buckets [histogramBuckets]uint16
	total   uint16
	// p90Bucket is the bucket of the 90th percentile, valid when known is true.
	p90Bucket uint8
	known     bool
}

func bucketOf(d time.Duration) uint8 {
	ms8 := uint64(max(d, time.Millisecond)) * bucketsPerDoubling / uint64(time.Millisecond)
	exp := bits.Len64(ms8) - 4
	index := exp*bucketsPerDoubling + int(ms8>>exp) - bucketsPerDoubling
	return uint8(min(index, histogramBuckets-1))
}

func (h *histogram) add(bucket uint8) {
	if h.total >= histogramMaxSamples {
		h.total = 0
		for i := range h.buckets {
			h.buckets[i] /= 2
			h.total += h.buckets[i]
		}
	}
	h.buckets[bucket]++
	h.total++
	if h.total%32 == histogramMinSamples {
		h.update()
	}
}

func (h *histogram) update() {
	above := int(h.total) / 10
	for i := histogramBuckets - 1; i >= 0; i-- {
		above -= int(h.buckets[i])
		if above < 0 {
			h.p90Bucket, h.known = uint8(i), true
			return
		}
	}
}
