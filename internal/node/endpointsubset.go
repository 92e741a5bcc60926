package node

import (
	"math/bits"
	"slices"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/place"
)

const (
	// maxSubset is the number of endpoints of a service up to which each node holds all of them.
	maxSubset = 512
	// subsetSize is the number of endpoints that a node holds of a larger service, beside those of
	// its own failure domain, which it holds localFactor times as often.
	subsetSize  = 96
	localFactor = 8
	// versionExtras is how many endpoints are held for a call that is restricted to some versions.
	versionExtras = 8
	// maxExtras bounds the endpoints that are held because a leader chose them.
	maxExtras = 256
)

// endpointSubset selects the endpoints of large services that a node holds in its own pools. Where
// leaders place all requests of a service, a node uses its own choice only as a substitute: for
// that, some endpoints are enough, and state for each of thousands would cost more memory than all
// else.
type endpointSubset struct {
	node   uint64
	domain string
}

// holds reports whether the pool of a service holds an endpoint. The choice depends on the endpoint
// alone while the number of endpoints stays within the same power of two.
func (p *pools) holds(v *view, service catalog.Service, e *catalog.Endpoint) bool {
	count := p.counts[service.Name]
	if p.subset == nil || count <= maxSubset || v.config.Placing(service.Name) != intake.ByLeaders {
		return true
	}
	part := float64(subsetSize) / float64(uint64(1)<<bits.Len(uint(count)))
	if e.Domain == p.subset.domain {
		part *= localFactor
	}
	draw := hash.Pair(p.subset.node, hash.Of(e.ID))
	return float64(draw>>11)/(1<<53) < part
}

// admitExtra adds the endpoint that a leader chose for a call to the pool, if it is not held. The
// caller must hold the lock.
func (p *pools) admitExtra(pool *place.Pool, n need) {
	if p.subset == nil || n.preferred == "" || p.view == nil || pool.Find(n.preferred) != place.None {
		return
	}
	e, ok := p.view.endpoints.Get(n.preferred)
	if !ok || e.Service != n.service || !p.view.evacuations.AcceptsWork(*e) {
		return
	}
	p.addExtra(pool, e)
}

func (p *pools) addExtra(pool *place.Pool, e *catalog.Endpoint) {
	p.trimExtras(pool, e.Service)
	pool.Apply([]place.Spec{p.view.specSource(p.view.config.Services[e.Service], p.pace, p.slots, p.disabled)(e)}, nil)
	p.extras[e.Service] = append(p.extras[e.Service], e.ID)
}

// admitVersions adds some endpoints of the versions that a call is restricted to, if the pool holds only
// a part of the service's endpoints. The caller must hold the lock.
func (p *pools) admitVersions(pool *place.Pool, n need) {
	if p.subset == nil || len(n.versions) == 0 || p.view == nil || p.counts[n.service] <= maxSubset {
		return
	}
	held := 0
	for e := range p.listed(n) {
		if held == versionExtras {
			return
		}
		if pool.Find(e.ID) == place.None {
			p.addExtra(pool, e)
		}
		held++
	}
}

// trimExtras drops the older half of the extra endpoints without calls if there are too many.
func (p *pools) trimExtras(pool *place.Pool, service string) {
	extras := p.extras[service]
	if len(extras) < maxExtras {
		return
	}
	half := len(extras) / 2
	kept := slices.DeleteFunc(slices.Clone(extras), func(id string) bool {
		i := pool.Find(id)
		if i != place.None && (pool.At(i).Outstanding() > 0 || slices.Index(extras, id) >= half) {
			return false
		}
		pool.Apply(nil, []string{id})
		return true
	})
	p.extras[service] = kept
}
