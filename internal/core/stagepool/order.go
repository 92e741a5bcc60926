package stagepool

import (
	"slices"

	"gradetiller.example/internal/core/catalog"
)

// normalize puts the stages of a task into an order in which each follows those that it depends on, which the pool's
// calculations rely on, and reports false if there is none. The stages keep their numbers (number).
func (t *Task) normalize() bool {
	after := make([][]int, len(t.Stages))
	for i, s := range t.Stages {
		after[i] = s.After
	}
	numbers, err := catalog.StageOrder(after)
	if err != nil {
		return false
	}
	if slices.IsSorted(numbers) {
		return true
	}
	at := make([]int, len(numbers))
	for i, number := range numbers {
		at[number] = i
	}
	stages := make([]Stage, len(numbers))
	for i, number := range numbers {
		stages[i] = t.Stages[number]
		stages[i].After = nil
		for _, of := range t.Stages[number].After {
			stages[i].After = append(stages[i].After, at[of])
		}
	}
	t.Stages, t.numbers = stages, numbers
	return true
}

// number returns the number of a stage at the pool's caller.
func (t *Task) number(stage int) int {
	if t.numbers == nil {
		return stage
	}
	return t.numbers[stage]
}
