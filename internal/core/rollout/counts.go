package rollout

import (
	"math"
	"time"
)

// bucketCount is the number of latency buckets. Bucket k ends at minLatency times 2^(k/2), the last
// one has no end.
const (
	bucketCount = 34
	minLatency  = time.Millisecond
)

// Key identifies what answers are compared: those of one route in one arm.
type Key struct {
	Route string
	Arm   Arm
}

// Result is the outcome of one attempt at an endpoint.
type Result struct {
	OK bool
	// Latency is the time until the answer began, or 0 if it says nothing about the endpoint.
	Latency time.Duration
}

// Counts counts the answers of one key.
type Counts struct {
	Answers  uint32
	Failures uint32
	// Latencies counts the successful answers with a known latency by bucket.
	Latencies [bucketCount]uint32
}

func bucketOf(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(d)/float64(minLatency)))), bucketCount-1)
}

func (c *Counts) add(r Result) {
	c.Answers++
	if !r.OK {
		c.Failures++
		return
	}
	if r.Latency > 0 {
		c.Latencies[bucketOf(r.Latency)]++
	}
}

// plus returns the sum of two counts.
func (c Counts) plus(o Counts) Counts {
	c.Answers += o.Answers
	c.Failures += o.Failures
	for k := range c.Latencies {
		c.Latencies[k] += o.Latencies[k]
	}
	return c
}

// minus returns the counts since an earlier state o.
func (c Counts) minus(o Counts) Counts {
	c.Answers -= min(o.Answers, c.Answers)
	c.Failures -= min(o.Failures, c.Failures)
	for k := range c.Latencies {
		c.Latencies[k] -= min(o.Latencies[k], c.Latencies[k])
	}
	return c
}

// timed returns the number of answers with a known latency.
func (c *Counts) timed() int { return c.slowerThan(-1) }

// slowerThan returns the number of answers in buckets above the given one.
func (c *Counts) slowerThan(bucket int) int {
	sum := uint32(0)
	for _, n := range c.Latencies[bucket+1:] {
		sum += n
	}
	return int(sum)
}

// medianBucket returns the bucket of the median latency.
func (c *Counts) medianBucket() int {
	half := c.timed() / 2
	for k := range c.Latencies {
		if c.slowerThan(k) <= half {
			return k
		}
	}
	return bucketCount - 1
}

// Report holds all counts of one node since the order.
type Report map[Key]Counts

func (r Report) clone() Report {
	c := make(Report, len(r))
	for k, v := range r {
		c[k] = v
	}
	return c
}

// requests returns the number of answers of an arm, or of both if it is Any.
func (r Report) requests(arm Arm) int {
	sum := 0
	for k, c := range r {
		if arm == Any || k.Arm == arm {
			sum += int(c.Answers)
		}
	}
	return sum
}

// Recorder counts the answers that one node gets. It is not safe for concurrent use.
type Recorder struct{ counts Report }

// Record counts an answer. Keys without an arm are ignored.
func (r *Recorder) Record(k Key, result Result) {
	if k.Arm == Any {
		return
	}
	if r.counts == nil {
		r.counts = make(Report)
	}
	c := r.counts[k]
	c.add(result)
	r.counts[k] = c
}

// Report returns a copy of all counts.
func (r *Recorder) Report() Report { return r.counts.clone() }
