package cmd

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gradetiller.example/platform"
)

// asProgram has the test's own program run as the node.
const asProgram = "GRADETILLER_TEST_AS_PROGRAM"

// badSettings is the exit status of a process whose settings make no sense.
const badSettings = 2

// TestMain runs the tests, or the program in a test's place.
func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		Main()
		return
	}
	os.Exit(m.Run())
}

// TestHangUpDuringTheStart sends SIGHUP to a process that has begun to read its settings.
// A node that was told of changed settings in the first moments of its life ended without
// a line and was not there any more: nothing took the signal before the settings were read
// and the log was opened.
func TestHangUpDuringTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), asProgram+"=1", platform.SettingsVariable+"="+path)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	// The file opens when the process does so too.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if err := settings.Close(); err != nil {
		t.Fatal(err)
	}
	var exit *exec.ExitError
	if err := command.Wait(); !errors.As(err, &exit) || exit.ExitCode() != badSettings {
		t.Errorf("the process ended with %v, want status %d for its empty settings", err, badSettings)
	}
}
