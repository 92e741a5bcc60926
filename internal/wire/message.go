package wire

// Version is the protocol version; a Hello of another version is refused.
const Version = 1

// Message is a message of the protocol. The types of this package implement it.
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
	kindStagesAdmission
	kindStagesDone
	kindStagesRelease
	kindViewRequest
	kindView
	kindStagesPing
	kindCrashReports
	kindRolloutReport
	kindRolloutStage
	kindStandbyState
	kindLeaderChanged
	kindRelayOpen
	kindRelayOpened
	kindRelayBackoff
	kindStreamOrigins
	kindStreamOriginRequest
	kindStreamOriginResponse
	kindPartCrashReports
	kindEnd
)

// baseKinds is the last kind that nodes know whose Hello has no Kinds.
const baseKinds = kindRolloutStage

// Kinds is the value of Hello.Kinds of this version.
const Kinds = int(kindEnd - 1)

// Role is the kind of a process. The receiver of a connection accepts messages by role.
type Role string

// The roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	// RoleNode is the role of a process that has both a data plane and a control plane.
	RoleNode Role = "node"
)

// Hello is the first message on every connection, in both directions.
type Hello struct {
	Version     int
	System      string
	Role        Role
	Node        string
	Incarnation uint64
	// Kinds is the number of message kinds that the sender knows. It is 0 from processes of an
	// earlier version. They close a connection on which another kind arrives.
	Kinds int
}

// Knows reports whether the sender of a Hello knows a kind of message.
func (h Hello) Knows(m Message) bool { return int(m.kind()) <= max(h.Kinds, int(baseKinds)) }

// State is the state of a member.
type State uint8

// The states of a member, in ascending order of precedence.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of the state.
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
	// Leads has a bit set for each cell of stage workers that the node leads.
	Leads uint64
	// Capacity is the CPU share of the node in thousandths of a core, or 0 if unknown.
	Capacity int
}

// Member is the membership record of a control process and its entries. Only the process itself
// raises Incarnation and Seq.
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

// Endpoint is a watcher's finding about an endpoint. Seq orders the findings about the same
// endpoint.
type Endpoint struct {
	Pool    string
	Name    string
	Leaving bool
	Seq     uint64
}

// RecordVersion is the version of a member's record in a listing.
type RecordVersion struct {
	Node        string
	Incarnation uint64
	Seq         uint64
	State       State
}

// Gossip is a heartbeat between neighbors, with the updates that the receiver may lack.
type Gossip struct {
	Node          string
	Incarnation   uint64
	ViewHash      uint64
	ConfigVersion uint64
	Members       []Member
	Endpoints     []Endpoint
	// Listing is sent when the view hashes differ. The receiver answers with the records that
	// the sender lacks.
	Listing []RecordVersion
	// NonNeighbor is true if the receiver is not a neighbor on the sender's ring. Such a message
	// does not keep a link alive.
	NonNeighbor bool
	// Answer is true if the message answers a listing. The listing that it carries itself is
	// answered with records only, so that the exchange ends.
	Answer bool
	// ListRevision is the revision of the sender's endpoint list. It is 0 if the sender has no
	// list or is of an earlier version.
	ListRevision uint64
	// Refused lists refused requests that the receiver may not know. RefusedSum is a checksum of
	// all that the sender knows; it is 0 if the sender knows none or is of an earlier version.
	Refused    []Refusal
	RefusedSum uint64
	// RateLimits is nil if the sender knows no rate limit of an endpoint or is of an earlier
	// version. That holds for nearly all messages, and a pointer keeps them short: when all nodes
	// start at once, their links are the bottleneck (see TestAllStartOnSmallLinks).
	RateLimits *RateLimits
	// Draining is nil if the sender knows no draining endpoint or is of an earlier version.
	Draining *Draining
}

// RateLimits lists rate limits that endpoints advertised and that the receiver may not know. Sum
// is a checksum of all that the sender knows.
type RateLimits struct {
	Sum     uint64
	Updates []RateLimit
}

// RateLimit is a signal.LimitUpdate, with Age in milliseconds.
type RateLimit struct {
	Endpoint  string
	Bounded   bool
	PerSecond float64
	Age       int64
}

// Draining lists endpoints that announced that they are draining and that the receiver may not
// know. Sum is a checksum of all that the sender knows.
type Draining struct {
	Sum     uint64
	Updates []DrainingEndpoint
}

// DrainingEndpoint is a signal.DrainingUpdate, with Age in milliseconds.
type DrainingEndpoint struct {
	Endpoint string
	Age      int64
}

// ConfigRequest requests a configuration newer than a version from a neighbor.
type ConfigRequest struct {
	Above uint64
}

// ConfigFile is a full configuration that was accepted. Between control processes, Data is
// compressed with gzip. Digest is the digest of the uncompressed file.
type ConfigFile struct {
	Version uint64
	Digest  string
	Data    []byte
}

// EntryStatus reports the state of an entry to its control process, at least once a second.
type EntryStatus struct {
	Entry         Entry
	ConfigVersion uint64
	InFlight      int
	Impaired      []string
}

// Snapshot is the state that an entry receives from its control process. Config is empty if the
// entry already has the current version. Unchanged is true if Entries and Endpoints are the same
// as in the previous snapshot on this connection and therefore omitted; sending the full lists
// every second would take 40 kB/s at 380 nodes.
type Snapshot struct {
	Unchanged bool
	Config    ConfigFile
	Entries   []Entry
	Endpoints []Endpoint
	// Settled is false until the control process has had time to reach all its peers. Until
	// then Entries may be incomplete, and the receiver keeps the entries that it knows.
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

// ExplainRequest requests an entry's decisions about a subject.
type ExplainRequest struct {
	ID      uint64
	Subject string
}

// ExplainResponse answers an ExplainRequest with the decisions, oldest first, one per line.
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
	case kindStagesAdmission:
		return &StagesAdmission{}
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
	case kindRolloutReport:
		return new(RolloutReport)
	case kindRolloutStage:
		return new(RolloutStage)
	case kindCrashReports:
		return &CrashReports{}
	case kindStandbyState:
		return new(StandbyState)
	case kindLeaderChanged:
		return new(LeaderChanged)
	case kindRelayOpen:
		return new(RelayOpen)
	case kindRelayOpened:
		return new(RelayOpened)
	case kindRelayBackoff:
		return new(RelayBackoff)
	case kindStreamOrigins:
		return new(StreamOrigins)
	case kindStreamOriginRequest:
		return new(StreamOriginRequest)
	case kindStreamOriginResponse:
		return new(StreamOriginResponse)
	case kindPartCrashReports:
		return new(PartCrashReports)
	}
	return nil
}
