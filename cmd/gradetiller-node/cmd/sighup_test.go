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

// runMainVariable is the environment variable that makes the test binary run Main.
const runMainVariable = "GRADETILLER_TEST_AS_PROGRAM"

// exitBadSettings is the exit status for invalid settings.
const exitBadSettings = 2

// TestMain runs the tests, or the program itself if runMainVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		Main()
		return
	}
	os.Exit(m.Run())
}

// TestSIGHUPDuringStartup guards against a node that is ended by a SIGHUP during startup,
// without a log line, because the signal is handled only once the settings are read and the
// log is open. It sends SIGHUP to a process that is reading its settings.
func TestSIGHUPDuringStartup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), runMainVariable+"=1", platform.SettingsVariable+"="+path)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the FIFO for writing returns once the process has opened it for reading.
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
	if err := command.Wait(); !errors.As(err, &exit) || exit.ExitCode() != exitBadSettings {
		t.Errorf("the process ended with %v, want status %d for its empty settings", err, exitBadSettings)
	}
}
