package cmd

import (
	"flag"
	"net"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"gradetiller.example/internal/control"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/standin"
)

var update = flag.Bool("update", false, "update the expected output in the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){name: Main})
}

// TestScripts runs each script in testdata/script against its own control process.
// Use go test -update to update the expected output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			platformServer := httptest.NewServer(standin.NewPlatform(nil).Handler())
			env.Defer(platformServer.Close)
			p, err := platform.NewHTTP(platformServer.URL)
			if err != nil {
				return err
			}
			c := control.New(control.Identity{System: "test", Node: "n1", Incarnation: 1, PeerAddress: "127.0.0.1:1", Domain: "d1"}, control.WithPlatform(p, p, p))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			server := httptest.NewUnstartedServer(c.Handler("secret"))
			server.Listener.Close()
			server.Listener = l
			server.Start()
			env.Defer(server.Close)
			env.Setenv("CONTROL", l.Addr().String())
			env.Setenv("GRADETILLER_TOKEN", "secret")
			env.Setenv("HOME", os.TempDir())
			return nil
		},
	})
}
