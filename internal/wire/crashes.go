package wire

// Refusal is a request that is refused because it crashes endpoints. Its fields are those of
// poison.Refusal, with Remaining in milliseconds.
type Refusal struct {
	Request   []byte
	Version   uint64
	Remaining int64
	Count     int
	Cleared   bool
	// Age is the time since the first crash that counts against the request, in milliseconds.
	Age int64
	// Part is true if Request is the ID of a prompt part, Suspected if it is not refused yet, and
	// Companions are the IDs of what a request must have besides to be refused. Nodes of an earlier version
	// leave them out and don't know such IDs.
	Part       bool
	Suspected  bool
	Companions [][]byte
}

// EndpointCrash is a poison.Crash.
type EndpointCrash struct {
	Endpoint    string
	Address     string
	ServiceSize int
	Confirmed   bool
	Alive       bool
	// Accepted is not sent by nodes of an earlier version.
	Accepted bool
	// Age, in milliseconds, Companions and ServedBefore are not sent by nodes of an earlier version.
	Age          int64
	Companions   [][]byte
	ServedBefore bool
}

// CrashReport is a poison.Report.
type CrashReport struct {
	Request []byte
	Crashes []EndpointCrash
	Served  bool
}

// CrashReports reports endpoint crashes under requests to the nodes that count the crashes of
// those requests.
type CrashReports struct {
	Reports []CrashReport
}

func (CrashReports) kind() kind { return kindCrashReports }

// PartCrashReports are CrashReports whose Request fields are the IDs of prompt parts.
type PartCrashReports struct {
	Reports []CrashReport
}

func (PartCrashReports) kind() kind { return kindPartCrashReports }
