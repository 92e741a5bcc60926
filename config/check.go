package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/workqueue"
)

// Values of policies.retry and policies.admission.
const (
	RetryBudgeted  = "budgeted"
	RetryPlain     = "plain"
	AdmissionEarly = "early"
	AdmissionNone  = "none"
)

const (
	currentFormat = 1
	maxStages     = 16
	maxLocateKeep = time.Minute
	keyHashSize   = 32
)

// checker collects the problems of one file.
type checker struct {
	file     string
	body     ast.Node
	problems Problems
}

// reportNode adds a problem at the position of a node.
func (c *checker) reportNode(n ast.Node, code Code, message, fix string) {
	p := Problem{file: c.file, line: 1, col: 1, code: code, message: message, fix: fix}
	if n != nil && n.GetToken() != nil {
		pos := n.GetToken().Position
		p.line, p.col = pos.Line, pos.Column
	}
	c.problems = append(c.problems, p)
}

// reportPath adds a problem at the position of a YAML path, or of its nearest
// ancestor that is present in the file.
func (c *checker) reportPath(path string, code Code, message, fix string) {
	for at := path; at != "$"; at = parentPath(at) {
		yp, err := yaml.PathString(at)
		if err != nil {
			break
		}
		if n, err := yp.FilterNode(c.body); err == nil && n != nil {
			c.reportNode(n, code, message, fix)
			return
		}
	}
	c.reportNode(c.body, code, message, fix)
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i <= 0 {
		return "$"
	}
	return path[:i]
}

func fillDefaults(f *fileConfig) {
	setDefault(&f.Locate.Keep, DefaultLocateKeep)
	setDefault(&f.Locate.Addresses, DefaultLocateAddresses)
	setDefault(&f.Policies.Order, DefaultOrder)
	setDefault(&f.Policies.Place, DefaultPlace)
	setDefault(&f.Policies.Retry, RetryBudgeted)
	setDefault(&f.Policies.Admission, AdmissionEarly)
	if f.Policies.Share == nil {
		share := DefaultRetryShare
		f.Policies.Share = &share
	}
	for i := range f.Accounts {
		a := &f.Accounts[i]
		setDefault(&a.Share, 1)
		setDefault(&a.Concurrency, DefaultConcurrency)
		setDefault(&a.Burst, max(a.Rate, 1))
		a.KeySHA256 = strings.ToLower(a.KeySHA256)
	}
	for i := range f.Pools {
		setDefault(&f.Pools[i].Queue, DefaultQueue)
		for j := range f.Pools[i].Endpoints {
			setDefault(&f.Pools[i].Endpoints[j].Slots, DefaultSlots)
			setDefault(&f.Pools[i].Endpoints[j].Cost, 1)
		}
	}
	for i := range f.Pipelines {
		setDefault(&f.Pipelines[i].Objective, ObjectiveAttainment)
	}
	for i := range f.Experiments {
		setDefault(&f.Experiments[i].SplitBy, SplitByRequest)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *checker) check(f *fileConfig) {
	if f.Format != currentFormat {
		c.reportPath("$.format", CodeRange, fmt.Sprintf("format is %d", f.Format), fmt.Sprintf("write format: %d", currentFormat))
	}
	c.checkName("$.name", f.Name)
	if f.Locate.Keep < 0 || f.Locate.Keep > maxLocateKeep {
		c.reportPath("$.locate.keep", CodeRange, fmt.Sprintf("keep is %v", f.Locate.Keep), "write a duration up to 1m")
	}
	if f.Locate.Addresses < 1 {
		c.reportPath("$.locate.addresses", CodeRange, "addresses is below 1", "write 1 or more")
	}
	c.checkPolicies(f.Policies)
	c.checkAccounts(f.Accounts)
	c.checkPools(f.Pools)
	c.checkPipelines(f)
	c.checkExperiments(f)
	c.checkUnusedPools(f)
	c.checkEvacuated(f)
}

func (c *checker) checkName(path, name string) {
	if name == "" {
		c.reportPath(path, CodeMissing, path+" is missing", "give it a name")
		return
	}
	for _, r := range name {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.' {
			continue
		}
		c.reportPath(path, CodeRange, fmt.Sprintf("name %q contains %q", name, r), "use a-z, 0-9, '-', '_' and '.'")
		return
	}
}

// checkNames checks that a list's names are valid and unique.
func (c *checker) checkNames(path string, names []string) {
	seen := make(map[string]bool)
	for i, name := range names {
		at := fmt.Sprintf("%s[%d].name", path, i)
		c.checkName(at, name)
		if seen[name] && name != "" {
			c.reportPath(at, CodeDuplicate, fmt.Sprintf("name %q is used twice", name), "rename one of them")
		}
		seen[name] = true
	}
}

func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = name(v)
	}
	return names
}

func (c *checker) checkOneOf(path, value string, allowed []string) {
	if value == "" || slices.Contains(allowed, value) {
		return
	}
	c.reportPath(path, CodeUnknownName, fmt.Sprintf("unknown value %q", value), "use one of "+strings.Join(allowed, ", "))
}

func (c *checker) checkMinimum(path string, ok bool, what string) {
	if !ok {
		c.reportPath(path, CodeRange, what+" is below its minimum", "write a number above 0")
	}
}

func (c *checker) checkPolicies(p filePolicies) {
	c.checkOneOf("$.policies.order", p.Order, workqueue.Names())
	c.checkOneOf("$.policies.place", p.Place, place.Names())
	c.checkOneOf("$.policies.retry", p.Retry, []string{RetryBudgeted, RetryPlain})
	c.checkOneOf("$.policies.admission", p.Admission, []string{AdmissionEarly, AdmissionNone})
	if *p.Share < 0 || *p.Share > 1 {
		c.reportPath("$.policies.retry_share", CodeRange, "retry_share is outside 0 to 1", "write a share such as 0.1")
	}
	if p.CostPrice < 0 {
		c.reportPath("$.policies.cost_price", CodeRange, "cost_price is negative", "write 0 or more")
	}
	if p.Retry == RetryPlain && *p.Share != DefaultRetryShare {
		c.reportPath("$.policies.retry_share", CodeContradiction, "retry_share has no effect with retry: plain", "remove it or write retry: budgeted")
	}
}

func (c *checker) checkAccounts(accounts []fileAccount) {
	c.checkNames("$.accounts", namesOf(accounts, func(a fileAccount) string { return a.Name }))
	if len(accounts) == 0 {
		c.reportPath("$.accounts", CodeMissing, "there are no accounts", "list at least one client account")
	}
	keys := make(map[string]string)
	for i, a := range accounts {
		at := fmt.Sprintf("$.accounts[%d]", i)
		if b, err := hex.DecodeString(a.KeySHA256); err != nil || len(b) != keyHashSize {
			c.reportPath(at+".key_sha256", CodeRange, "key_sha256 is not 64 hexadecimal digits", "write the SHA-256 of the account's key, as `gradetiller hash-key` prints it")
		} else if other, ok := keys[a.KeySHA256]; ok {
			c.reportPath(at+".key_sha256", CodeDuplicate, fmt.Sprintf("accounts %q and %q have the same key", other, a.Name), "give each account a key of its own")
		}
		keys[a.KeySHA256] = a.Name
		c.checkMinimum(at+".share", a.Share > 0, "share")
		c.checkMinimum(at+".rate", a.Rate >= 0, "rate")
		c.checkMinimum(at+".burst", a.Burst >= 1, "burst")
		c.checkMinimum(at+".concurrency", a.Concurrency > 0, "concurrency")
	}
}

func (c *checker) checkPools(pools []filePool) {
	c.checkNames("$.pools", namesOf(pools, func(p filePool) string { return p.Name }))
	endpoints := make(map[string]bool)
	for i, p := range pools {
		at := fmt.Sprintf("$.pools[%d]", i)
		if p.Kind == "" {
			c.reportPath(at, CodeMissing, "kind is missing", "write kind: engine or kind: service")
		}
		c.checkOneOf(at+".kind", p.Kind, []string{KindEngine, KindService})
		c.checkOneOf(at+".order", p.Order, workqueue.Names())
		c.checkOneOf(at+".place", p.Place, place.Names())
		c.checkMinimum(at+".queue", p.Queue > 0, "queue")
		if len(p.Endpoints) == 0 {
			c.reportPath(at, CodeMissing, fmt.Sprintf("pool %q has no endpoints", p.Name), "list at least one endpoint")
		}
		c.checkNames(at+".endpoints", namesOf(p.Endpoints, func(e fileEndpoint) string { return e.Name }))
		for j, e := range p.Endpoints {
			c.checkEndpoint(fmt.Sprintf("%s.endpoints[%d]", at, j), e)
			if endpoints[e.Address] {
				c.reportPath(fmt.Sprintf("%s.endpoints[%d].address", at, j), CodeDuplicate, fmt.Sprintf("address %s is used twice", e.Address), "list each endpoint once")
			}
			endpoints[e.Address] = true
		}
	}
}

func (c *checker) checkEndpoint(at string, e fileEndpoint) {
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		c.reportPath(at+".address", CodeAddress, fmt.Sprintf("address %q is not an IP address and port", e.Address), "write it as 10.0.0.1:8000; host names are not looked up")
	}
	if e.Domain == "" {
		c.reportPath(at, CodeMissing, "failure_domain is missing", "name the endpoint's failure domain")
	}
	c.checkMinimum(at+".slots", e.Slots > 0, "slots")
	c.checkMinimum(at+".cost", e.Cost > 0, "cost")
}

func (c *checker) checkPipelines(f *fileConfig) {
	c.checkNames("$.pipelines", namesOf(f.Pipelines, func(p filePipeline) string { return p.Name }))
	poolKinds := make(map[string]string)
	poolNames := namesOf(f.Pools, func(p filePool) string { return p.Name })
	for _, p := range f.Pools {
		poolKinds[p.Name] = p.Kind
	}
	for i, p := range f.Pipelines {
		at := fmt.Sprintf("$.pipelines[%d]", i)
		c.checkOneOf(at+".objective", p.Objective, []string{ObjectiveAttainment, ObjectiveCost})
		c.checkMinimum(at+".deadline", p.Deadline > 0, "deadline")
		if len(p.Stages) == 0 || len(p.Stages) > maxStages {
			c.reportPath(at, CodeRange, fmt.Sprintf("pipeline %q has %d stages", p.Name, len(p.Stages)), fmt.Sprintf("list 1 to %d stages", maxStages))
		}
		c.checkNames(at+".stages", namesOf(p.Stages, func(s fileStage) string { return s.Name }))
		for j, s := range p.Stages {
			stageAt := fmt.Sprintf("%s.stages[%d]", at, j)
			if s.Pool == "" {
				c.reportPath(stageAt, CodeMissing, "pool is missing", "name the stage's pool")
			}
			c.checkOneOf(stageAt+".pool", s.Pool, poolNames)
			c.checkStage(stageAt, s, poolKinds[s.Pool])
		}
	}
}

func (c *checker) checkStage(at string, s fileStage, kind string) {
	if s.MaxTokens < 0 {
		c.reportPath(at+".max_tokens", CodeRange, "max_tokens is negative", "write 0 or more")
	}
	if s.MaxTokens > 0 && kind == KindService {
		c.reportPath(at+".max_tokens", CodeContradiction, "max_tokens has no meaning in a pool of services", "remove it or use a pool of engines")
	}
	if s.Optional && s.Repeatable != nil && !*s.Repeatable {
		c.reportPath(at+".optional", CodeContradiction, "a stage that may not be repeated cannot be optional", "remove optional or repeatable: false")
	}
	for i, v := range s.Versions {
		c.checkName(fmt.Sprintf("%s.versions[%d].name", at, i), v.Name)
		c.checkMinimum(fmt.Sprintf("%s.versions[%d].weight", at, i), v.Weight >= 0, "weight")
	}
}

func (c *checker) checkExperiments(f *fileConfig) {
	c.checkNames("$.experiments", namesOf(f.Experiments, func(e fileExperiment) string { return e.Name }))
	pipelines := namesOf(f.Pipelines, func(p filePipeline) string { return p.Name })
	taken := make(map[string]string)
	for i, e := range f.Experiments {
		at := fmt.Sprintf("$.experiments[%d]", i)
		if e.Pipeline == "" {
			c.reportPath(at, CodeMissing, "pipeline is missing", "name the experiment's pipeline")
		}
		c.checkOneOf(at+".pipeline", e.Pipeline, pipelines)
		c.checkOneOf(at+".split_by", e.SplitBy, []string{SplitByRequest, SplitByAccount})
		if other, ok := taken[e.Pipeline]; ok {
			c.reportPath(at+".pipeline", CodeContradiction, fmt.Sprintf("experiments %q and %q split the same pipeline", other, e.Name), "end one of them")
		}
		taken[e.Pipeline] = e.Name
		if len(e.Arms) < 2 {
			c.reportPath(at, CodeMissing, fmt.Sprintf("experiment %q has %d arms", e.Name, len(e.Arms)), "list two arms or more")
		}
		c.checkNames(at+".arms", namesOf(e.Arms, func(a fileArm) string { return a.Name }))
		for j, a := range e.Arms {
			c.checkOneOf(fmt.Sprintf("%s.arms[%d].place", at, j), a.Place, place.Names())
			c.checkMinimum(fmt.Sprintf("%s.arms[%d].share", at, j), a.Share > 0, "share")
		}
	}
}

// checkEvacuated checks that each evacuated failure domain has endpoints and is listed once.
func (c *checker) checkEvacuated(f *fileConfig) {
	domains := make(map[string]bool)
	for _, p := range f.Pools {
		for _, e := range p.Endpoints {
			domains[e.Domain] = true
		}
	}
	seen := make(map[string]bool)
	for i, domain := range f.Evacuated {
		at := fmt.Sprintf("$.evacuated[%d]", i)
		switch {
		case domain == "" || !domains[domain]:
			c.reportPath(at, CodeUnknownName, fmt.Sprintf("no endpoint is in failure domain %q", domain), "use one of "+strings.Join(slices.Sorted(maps.Keys(domains)), ", "))
		case seen[domain]:
			c.reportPath(at, CodeDuplicate, fmt.Sprintf("failure domain %q is listed twice", domain), "remove one of them")
		}
		seen[domain] = true
	}
}

func (c *checker) checkUnusedPools(f *fileConfig) {
	used := make(map[string]bool)
	for _, p := range f.Pipelines {
		for _, s := range p.Stages {
			used[s.Pool] = true
		}
	}
	for i, p := range f.Pools {
		if !used[p.Name] {
			c.reportPath(fmt.Sprintf("$.pools[%d].name", i), CodeUnused, fmt.Sprintf("no stage uses pool %q", p.Name), "remove it or use it")
		}
	}
}
