package standby

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"

	"gradetiller.example/internal/wire"
)

// maxTasks bounds the tasks of one message, which take some three bytes each. With more, the nodes of
// the remaining ones detect the loss by themselves.
const maxTasks = 8192

// Owner is a node, and the incarnation of its process.
type Owner struct {
	Node        string
	Incarnation uint64
}

// TaskKey identifies a task by the node that submitted it and the ID that this node gave it.
type TaskKey struct {
	Owner
	ID uint64
}

// Task is a task in flight. Begun has a bit for each stage for which a call was sent.
type Task struct {
	TaskKey
	Begun uint64
}

var errPacked = errors.New("packed tasks are truncated")

// Pack groups tasks by owner and packs them: for each task, in the order of their IDs, the difference
// of its ID from the previous one and its begun stages, as variable-length integers.
func Pack(tasks []Task) []wire.StandbyTasks {
	slices.SortFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
	})
	var list []wire.StandbyTasks
	last := uint64(0)
	for _, t := range tasks[:min(len(tasks), maxTasks)] {
		if n := len(list); n == 0 || list[n-1].Node != t.Node || list[n-1].Incarnation != t.Incarnation {
			list = append(list, wire.StandbyTasks{Node: t.Node, Incarnation: t.Incarnation})
			last = 0
		}
		group := &list[len(list)-1]
		group.Packed = binary.AppendUvarint(group.Packed, t.ID-last)
		group.Packed = binary.AppendUvarint(group.Packed, t.Begun)
		last = t.ID
	}
	return list
}

// Unpack returns packed tasks with the stages that each had begun.
func Unpack(list []wire.StandbyTasks) (map[TaskKey]uint64, error) {
	tasks := make(map[TaskKey]uint64)
	for _, group := range list {
		id, rest := uint64(0), group.Packed
		for len(rest) > 0 {
			difference, n := binary.Uvarint(rest)
			if n <= 0 {
				return tasks, errPacked
			}
			begun, m := binary.Uvarint(rest[n:])
			if m <= 0 {
				return tasks, errPacked
			}
			id, rest = id+difference, rest[n+m:]
			tasks[TaskKey{Owner{group.Node, group.Incarnation}, id}] = begun
		}
	}
	return tasks, nil
}
