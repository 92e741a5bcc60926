package catalog

import (
	"strconv"
	"strings"
)

// IncarnationSeparator parts a worker's name from its start in the ID of one of its lives. A worker's
// name that has the mark in it is followed by one in an ID without a start.
const IncarnationSeparator = "/"

// IncarnationID names one life of a worker, which began at a Unix millisecond. A worker may start
// again under its name, and holds nothing of before then; all that is known of a life goes
// by this ID, so it ends with the life.
func IncarnationID(worker string, born int64) string {
	return worker + IncarnationSeparator + strconv.FormatInt(born, 10)
}

// WorkerName returns the name by which a worker knows itself, in any of its lives.
func WorkerName(id string) string {
	if at := strings.LastIndex(id, IncarnationSeparator); at >= 0 {
		return id[:at]
	}
	return id
}
