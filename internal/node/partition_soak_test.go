package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	// soakLength is how long partitions begin and end in a run, and soakCalm how long none does after
	// it.
	soakLength = 6 * time.Second
	soakCalm   = 4 * time.Second
	// soakSettles is how long nodes may take after the last partition to serve all requests again.
	soakSettles = 2 * time.Second
	// minSoakServed is how often requests must be served while partitions begin and end, as nodes
	// without paths must.
	minSoakServed = 2.0 / 3
)

// TestPartitionSoak guards against requests that run twice, or that run although they were refused as not
// run, while paths are lost and restored at random, one partition over the other, and against nodes that
// do not recover. It runs PARTITION_SEEDS seeds, 1 by default, from PARTITION_SEED on.
func TestPartitionSoak(t *testing.T) {
	number := func(name string) uint64 {
		n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
		if err != nil {
			return 1
		}
		return n
	}
	first := number("PARTITION_SEED")
	for seed := first; seed < first+number("PARTITION_SEEDS"); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakPartitions(t, seed) })
	}
}

func soakPartitions(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := readPartitionScript(t, os.DevNull)
	s.nodes, s.endpoints = 4, 3
	r := newPartitionRun(t, s)
	begun := time.Now()
	end := begun.Add(soakLength)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Now().Before(end) {
			r.changePartition(t, random)
			time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
		}
		r.heal()
	}()
	r.sendUntil(end.Add(soakCalm))
	<-done
	r.checkRuns(t)
	served, total := r.served(begun, end, false)
	if servedShare(served, total) < minSoakServed {
		t.Errorf("%d of %d requests were served while paths were lost, want two thirds", served, total)
	}
	t.Logf("%d of %d requests were served while paths were lost", served, total)
	for _, q := range r.requests {
		if q.status != http.StatusOK && q.sentAt.After(end.Add(soakSettles)) {
			t.Errorf("%s was sent %v after the last partition and answered %d", q.id, q.sentAt.Sub(end), q.status)
		}
	}
}

// changePartition cuts a node from the endpoints of some services, or ends its partition. The first node
// keeps its paths, so that each endpoint can be reached.
func (r *partitionRun) changePartition(t *testing.T, random *rand.Rand) {
	k := 1 + random.IntN(len(r.partitions)-1)
	if random.IntN(3) == 0 {
		r.partitions[k].Heal()
		return
	}
	mode := []platformtest.PartitionMode{platformtest.PacketsVanish, platformtest.ConnectionsReset, platformtest.NewRefused, platformtest.Delayed}[random.IntN(4)]
	behind := make(map[string]bool)
	for _, w := range r.workers {
		// Of a service, all endpoints or some.
		if random.IntN(4) > 0 {
			behind[w.Address()] = true
		}
	}
	t.Logf("node %d: mode %d, %d of %d endpoints", k, mode, len(behind), len(r.workers))
	r.partitions[k].Heal()
	r.partitions[k].Cut(mode, func(address string) bool { return behind[address] })
}
