package wire

// Version is the protocol version; a Hello of another version is refused.
const Version = 1

// Message is one of the types in this file.
type Message interface{ kind() kind }

type kind byte

const (
	kindHello kind = iota + 1
	kindGossip
	kindConfigRequest
	kindConfigFile
	kindEntryStatus
	kindSnapshot
	kindStart
	kindStarted
	kindExplainRequest
	kindExplainResponse
	kindStagesSubmit
	kindStagesVerdict
	kindStagesDone
	kindStagesRelease
	kindViewRequest
	kindView
	kindStagesPing
	kindCrashReports
)

// Role says what a process is; the receiver allows messages by role.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	// RoleNode is a process that carries both data and control.
	RoleNode Role = "node"
)

// Hello opens every connection.
type Hello struct {
	Version     int
	System      string
	Role        Role
	Node        string
	Incarnation uint64
}

// State of a member.
type State uint8

// The states of members, in the order of precedence.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string {
	if s > Left {
		return "invalid"
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Entry is an entry process that is linked to a control process.
type Entry struct {
	Node        string
	Incarnation uint64
	Address     string
	PeerAddress string
	Domain      string
	Region      string
	Leaving     bool
	// Leads has a bit for each cell of stage workers that the node leads.
	Leads uint64
	// Capacity is the node's processor share in thousandths of a core, or 0.
	Capacity int
}

// Member is the record of one control process and its entries. Only its
// owner raises Incarnation and Seq.
type Member struct {
	Node        string
	Incarnation uint64
	Seq         uint64
	State       State
	Address     string
	Domain      string
	Region      string
	Entries     []Entry
}

// Endpoint is what a watcher found out about an endpoint. Seq orders the
// findings about one endpoint.
type Endpoint struct {
	Pool    string
	Name    string
	Leaving bool
	Seq     uint64
}

// RecordVersion is the version of one member's record in a listing.
type RecordVersion struct {
	Node        string
	Incarnation uint64
	Seq         uint64
	State       State
}

// Gossip is the heartbeat between neighbors, with what is new.
type Gossip struct {
	Node          string
	Incarnation   uint64
	ViewHash      uint64
	ConfigVersion uint64
	Members       []Member
	Endpoints     []Endpoint
	// Listing is sent when view hashes differ; the receiver answers with the
	// records that the sender lacks.
	Listing []RecordVersion
	// NonNeighbor marks an answer to a node that is no neighbor on the sender's
	// ring; it does not keep the link.
	NonNeighbor bool
	// Answer marks the answer to a listing. Its own listing is answered with
	// records only, so that an exchange ends.
	Answer bool
	// ListRevision is that of the sender's list of endpoints, or 0 when it has none
	// or is of an earlier version.
	ListRevision uint64
	// Refused are requests that crash endpoints, as far as the receiver may not know
	// them; RefusedSum is the same on nodes that know the same ones, and 0 on those that
	// know none or are of an earlier version.
	Refused    []Refusal
	RefusedSum uint64
	// RateLimits is nil from nodes that know no rate limit of an endpoint, or are of
	// an earlier version. Nearly all messages are such; in a start of all nodes, which their
	// links bound, each byte of them counts (TestAllStartOnSmallLinks).
	RateLimits *RateLimits
	// Draining is nil from nodes that know no endpoint that drains, or are of an earlier version.
	Draining *Draining
}

// RateLimits are limits that endpoints advertise and that the receiver may not know. Sum is the
// same on nodes that know the same ones.
type RateLimits struct {
	Sum     uint64
	Updates []RateLimit
}

// RateLimit is signal.LimitUpdate. Age is in milliseconds.
type RateLimit struct {
	Endpoint  string
	Bounded   bool
	PerSecond float64
	Age       int64
}

// Draining are endpoints that announced draining and that the receiver may not know. Sum is the
// same on nodes that know the same ones.
type Draining struct {
	Sum     uint64
	Updates []DrainingEndpoint
}

// DrainingEndpoint is signal.DrainingUpdate. Age is in milliseconds.
type DrainingEndpoint struct {
	Endpoint string
	Age      int64
}

// ConfigRequest asks a neighbor for a configuration above a version.
type ConfigRequest struct {
	Above uint64
}

// ConfigFile is a whole accepted configuration. Between control processes
// Data is compressed with gzip; the digest is that of the file itself.
type ConfigFile struct {
	Version uint64
	Digest  string
	Data    []byte
}

// EntryStatus tells a control process about its entry, at least once a
// second.
type EntryStatus struct {
	Entry         Entry
	ConfigVersion uint64
	InFlight      int
	Impaired      []string
}

// Snapshot is all that an entry needs from its control process. Config is
// empty when the entry's version is in force already. Same is true when
// Entries and Endpoints are left out because the last snapshot of this
// connection holds them; whole lists every second would be 40 kB/s at 380
// nodes.
type Snapshot struct {
	Same      bool
	Config    ConfigFile
	Entries   []Entry
	Endpoints []Endpoint
	// Settled is false while the control process has not met all its peers
	// yet; Entries may then lack many, and the receiver keeps what it knows.
	Settled bool
}

// Start asks the writer of a shard to store a started record.
type Start struct {
	ID    uint64
	Key   string
	Token string
}

// Started answers a Start.
type Started struct {
	ID     uint64
	Result uint8
}

// ExplainRequest asks an entry for its decisions about a subject.
type ExplainRequest struct {
	ID      uint64
	Subject string
}

// ExplainResponse holds the decisions, oldest first, one line each.
type ExplainResponse struct {
	ID    uint64
	Lines []string
}

func (Hello) kind() kind           { return kindHello }
func (Gossip) kind() kind          { return kindGossip }
func (ConfigRequest) kind() kind   { return kindConfigRequest }
func (ConfigFile) kind() kind      { return kindConfigFile }
func (EntryStatus) kind() kind     { return kindEntryStatus }
func (Snapshot) kind() kind        { return kindSnapshot }
func (Start) kind() kind           { return kindStart }
func (Started) kind() kind         { return kindStarted }
func (ExplainRequest) kind() kind  { return kindExplainRequest }
func (ExplainResponse) kind() kind { return kindExplainResponse }

func newMessage(k kind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindGossip:
		return &Gossip{}
	case kindConfigRequest:
		return &ConfigRequest{}
	case kindConfigFile:
		return &ConfigFile{}
	case kindEntryStatus:
		return &EntryStatus{}
	case kindSnapshot:
		return &Snapshot{}
	case kindStart:
		return &Start{}
	case kindStarted:
		return &Started{}
	case kindExplainRequest:
		return &ExplainRequest{}
	case kindExplainResponse:
		return &ExplainResponse{}
	case kindStagesSubmit:
		return &StagesSubmit{}
	case kindStagesVerdict:
		return &StagesVerdict{}
	case kindStagesDone:
		return &StagesDone{}
	case kindStagesRelease:
		return &StagesRelease{}
	case kindViewRequest:
		return &ViewRequest{}
	case kindView:
		return &View{}
	case kindStagesPing:
		return &StagesPing{}
	case kindCrashReports:
		return &CrashReports{}
	}
	return nil
}
