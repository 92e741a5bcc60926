package wire

// StreamOrigins tells the receiver where streams began.
type StreamOrigins struct {
	Origins []StreamOrigin
	// Keep asks the receiver to write them to the platform's store. Nodes of an earlier version don't send it.
	Keep bool
}

// StreamOrigin is an origin.Record, with Remaining, its TTL, in milliseconds.
type StreamOrigin struct {
	Key       []byte
	Service   string
	Version   string
	Remaining int64
	Ambiguous bool
}

// StreamOriginRequest asks where the stream with a key began.
type StreamOriginRequest struct {
	ID  uint64
	Key []byte
}

// StreamOriginResponse answers a StreamOriginRequest. Found is false if the sender doesn't know.
type StreamOriginResponse struct {
	ID     uint64
	Found  bool
	Origin StreamOrigin
}

func (StreamOrigins) kind() kind        { return kindStreamOrigins }
func (StreamOriginRequest) kind() kind  { return kindStreamOriginRequest }
func (StreamOriginResponse) kind() kind { return kindStreamOriginResponse }
