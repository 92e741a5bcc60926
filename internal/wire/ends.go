package wire

// Refusal is a request that is refused since it crashes endpoints. Left is how long it is
// refused still, in milliseconds; the rest is poison.Refusal.
type Refusal struct {
	Request   []byte
	Version   uint64
	Remaining int64
	Count     int
	Pardoned  bool
	// Age is how long ago the first end was that counts against it, in milliseconds.
	Age int64
}

// EndpointCrash is poison.End.
type EndpointCrash struct {
	Endpoint string
	Address  string
	Among    int
	Sure     bool
	Alive    bool
}

// CrashReport is poison.Report.
type CrashReport struct {
	Request []byte
	Crashes []EndpointCrash
	Served  bool
}

// CrashReports tells the nodes that count them of endpoints that ended under requests.
type CrashReports struct {
	Reports []CrashReport
}

func (CrashReports) kind() kind { return kindCrashReports }
