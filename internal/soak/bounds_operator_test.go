package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"gradetiller.example/platform/platformtest"
)

// publish changes the configuration and writes it to the store.
func (r *boundsRun) publish(change func(*platformtest.Config)) {
	r.mu.Lock()
	next := platformtest.Config{
		Version: r.config.Version, Models: []string{"model"}, Stages: []string{"encode", "rank"},
	}
	change(&next)
	service := []string{"desk", "second-desk"}[next.Version%2]
	timeout := []time.Duration{400 * time.Millisecond, 900 * time.Millisecond}[next.Version/2%2]
	next.Keys = map[string]string{apiKey: account, versionKey(next.Version): account}
	next.Routes = append(longTimeoutRoutes(),
		platformtest.Route{Prefix: "/moved/", Kind: "safe", Service: service},
		platformtest.Route{Prefix: "/mute/", Kind: "safe", Service: "mute-desk", Timeout: timeout},
		platformtest.Route{Prefix: versionPath(next.Version), Kind: "safe", Service: "desk"})
	if r.hasManyRoutes {
		for i := range r.deployment.ManyRoutes {
			next.Routes = append(next.Routes, platformtest.Route{Prefix: manyPath(i), Kind: "safe", Service: "desk"})
		}
	}
	r.config = next
	r.history.versions = append(r.history.versions, published{version: next.Version, service: service, hasManyRoutes: r.hasManyRoutes, timeout: timeout, sent: time.Now()})
	at := len(r.history.versions) - 1
	r.mu.Unlock()
	r.site.Publish(next)
	r.mu.Lock()
	r.history.versions[at].acknowledged = time.Now()
	r.mu.Unlock()
}

func versionKey(version uint64) string { return fmt.Sprintf("key-v%d", version) }

func manyPath(i int) string { return fmt.Sprintf("/many/%d/", i) }

// operate changes the configuration until ctx ends: single changes, bursts of changes, the
// addition or removal of many routes, and occasionally an invalid version.
func (r *boundsRun) operate(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		count, gap := 1, time.Duration(0)
		switch rng.IntN(5) {
		case 0:
			count, gap = 4+rng.IntN(12), time.Duration(60+rng.IntN(360))*time.Millisecond
		case 1:
			r.mu.Lock()
			r.hasManyRoutes = !r.hasManyRoutes
			r.mu.Unlock()
		case 2:
			r.publishInvalid()
		}
		for range count {
			r.publish(func(c *platformtest.Config) { c.Version += 1 + 2*uint64(rng.IntN(3)) })
			sleep(ctx, gap)
		}
		sleep(ctx, time.Duration(300+rng.IntN(5200))*time.Millisecond)
	}
}

// replaceWorkers replaces one worker after the other until ctx ends.
func (r *boundsRun) replaceWorkers(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(1000+rng.IntN(3000))*time.Millisecond)
		r.replaceWorker()
	}
}

// replaceWorker makes a worker leave and adds a replacement. Every second one leaves
// unannounced: its entry is removed, and it keeps serving. With baseFaults all announce it.
func (r *boundsRun) replaceWorker() {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.site.AddWorkers("desk", 1)[0]
	r.serviceOf[next.ID] = "desk"
	leaving := r.deskWorkers[0]
	r.deskWorkers = append(r.deskWorkers[1:], next)
	if len(r.retired)%2 == 0 || r.faults == baseFaults {
		leaving.Drain()
	} else {
		leaving.Unlist()
	}
	r.retired = append(r.retired, leaving)
}

// restartWorkers restarts random model and stage workers under their IDs until ctx ends.
func (r *boundsRun) restartWorkers(ctx context.Context, rng *rand.Rand) {
	for {
		sleep(ctx, time.Duration(3000+rng.IntN(6000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		r.otherWorkers[rng.IntN(len(r.otherWorkers))].Restart()
	}
}

// publishInvalid writes a configuration that nodes must refuse as a whole. A valid one with a
// higher version follows soon.
func (r *boundsRun) publishInvalid() {
	r.mu.Lock()
	r.config.Version++
	bad := r.config
	r.invalidVersions = append(r.invalidVersions, bad.Version)
	r.mu.Unlock()
	bad.Routes = append([]platformtest.Route{}, bad.Routes...)
	for i := range bad.Routes {
		if strings.HasPrefix(bad.Routes[i].Prefix, "/v/") {
			bad.Routes[i].Prefix = versionPath(bad.Version)
		}
	}
	r.site.PublishInvalid(bad)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
