package catalog

import (
	"strconv"
	"strings"
)

// IncarnationSeparator separates a worker's name from its start time in an incarnation ID. A
// worker name that contains the separator is followed by a separator in an ID without a
// start time.
const IncarnationSeparator = "/"

// IncarnationID returns the ID of the incarnation of a worker that started at the given Unix time
// in milliseconds. A worker that restarts under the same name has lost all its state. State
// about a worker is keyed by this ID, so it is not carried over to the next incarnation.
func IncarnationID(worker string, born int64) string {
	return worker + IncarnationSeparator + strconv.FormatInt(born, 10)
}

// WorkerName returns the worker's name, which is the same for all its incarnations.
func WorkerName(id string) string {
	if at := strings.LastIndex(id, IncarnationSeparator); at >= 0 {
		return id[:at]
	}
	return id
}
