package cmd

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gradetiller.example/internal/explain"
)

type explainLogsCmd struct {
	Subject string        `arg:"" help:"Request ID, endpoint, node or version. With --table, the first log file."`
	Files   []string      `arg:"" optional:"" help:"Log files of all nodes; - stands for standard input."`
	Table   bool          `help:"Count the requests of all logs by route, client account and size, instead of a timeline."`
	Around  time.Duration `help:"Also show the state that the nodes logged up to this long before and after the lines about the subject." default:"1s"`
}

// Run implements the subcommand.
func (c *explainLogsCmd) Run(s *streams) error {
	if c.Table {
		return c.printTable(s)
	}
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	timeline := explain.Timeline(lines, c.Subject, c.Around)
	if len(timeline) == 0 {
		return fmt.Errorf("none of the %d lines of %s mentions %s; pass the logs of all nodes", len(lines), strings.Join(c.Files, ", "), c.Subject)
	}
	for _, l := range timeline {
		fmt.Fprintln(s.out, l)
	}
	return nil
}

// printTable prints the table of the requests in all logs.
func (c *explainLogsCmd) printTable(s *streams) error {
	files := append([]string{c.Subject}, c.Files...)
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	rows := explain.Table(lines)
	if len(rows) == 0 {
		return fmt.Errorf("none of the %d lines of %s is about a request; pass the logs of all nodes", len(lines), strings.Join(files, ", "))
	}
	return explain.WriteTable(s.out, rows)
}

func readLogs(paths []string) ([]explain.Line, error) {
	if len(paths) == 0 {
		return nil, &statusError{status: ExitUsage, err: errors.New("no log files; pass the logs of all nodes")}
	}
	var lines []explain.Line
	for _, path := range paths {
		read, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// stdinName is the file name that stands for standard input.
const stdinName = "-"

func readLog(path string) ([]explain.Line, error) {
	if path == stdinName {
		return explain.Read(os.Stdin, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	defer file.Close()
	return explain.Read(file, filepath.Base(path))
}
