package catalog

import "slices"

// Regions are the regions that requests are restricted to: only there may they be served, cached
// and stored. An empty list is no restriction.
type Regions []string

// Allow reports whether requests may be served in a region. The region of something unknown is "",
// which a restriction never allows.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || region != "" && slices.Contains(r, region)
}

// HomeRegions returns the regions of requests of a route from a client account, which may be nil.
// If both are restricted, both restrictions apply. It returns false if no region satisfies them.
func (r *Route) HomeRegions(account *Account) (Regions, bool) {
	if account == nil || len(account.HomeRegions) == 0 {
		return r.homeRegions, true
	}
	if len(r.homeRegions) == 0 {
		return account.HomeRegions, true
	}
	var both Regions
	for _, region := range r.homeRegions {
		if slices.Contains(account.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

// WithHomeRegions returns the route restricted to regions.
func (r Route) WithHomeRegions(regions Regions) Route {
	r.homeRegions = regions
	return r
}

// LookupRegions returns the regions whose nodes can serve requests to a host, and the regions that
// any client account is restricted to, whose nodes a client may need besides.
func (c *Config) LookupRegions(host string) (serving, accounts Regions) {
	for _, i := range c.byHost[host] {
		if len(c.Routes[i].homeRegions) == 0 {
			return nil, c.accountRegions
		}
		serving = append(serving, c.Routes[i].homeRegions...)
	}
	return serving, c.accountRegions
}

// indexRegions collects the regions that client accounts are restricted to.
func (c *Config) indexRegions() {
	for i := range c.Accounts {
		for _, region := range c.Accounts[i].HomeRegions {
			if !slices.Contains(c.accountRegions, region) {
				c.accountRegions = append(c.accountRegions, region)
			}
		}
	}
}
