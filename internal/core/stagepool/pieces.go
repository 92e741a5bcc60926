package stagepool

// MaxPieces bounds the pieces of a task. A task with more is rejected.
const MaxPieces = 1 << 16

// PiecesInRange reports whether the numbers of pieces of the stages of a task are in range. They come from clients, and
// each piece takes memory.
func PiecesInRange(pieces ...int) bool {
	all := 0
	for _, n := range pieces {
		if n < 0 || n > MaxPieces-all {
			return false
		}
		all += n
	}
	return true
}

// piecesInRange is PiecesInRange for the stages of the task.
func (t *Task) piecesInRange() bool {
	pieces := make([]int, len(t.Stages))
	for i, s := range t.Stages {
		pieces[i] = s.Pieces
	}
	return PiecesInRange(pieces...)
}
