package cli_test

import (
	"encoding/json"
	"net"
	"os"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dragonflypin/dragonflypin/internal/version/directory"
	"github.com/dragonflypin/dragonflypin/platform/platformtest"
)

// edgeFiles implements edgefiles OBJECTS [FIELD=VALUE]..., which starts a store of the platform with the objects in a file, a JSON object of
// kind, name and spec. It writes the settings of an edge to node.conf and edge.json, whose operator key is "operator-key", and sets
// DRAGONFLYPIN_NODE_FILE for processes of the script and OPERATOR to the address of the edge's operator API.
func edgeFiles(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: edgefiles OBJECTS [FIELD=VALUE]...")
	}
	var objects map[string]map[string]json.RawMessage
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &objects))
	store := platformtest.NewStore()
	ts.Defer(store.Close)
	for kind, byName := range objects {
		for name, spec := range byName {
			store.Put(kind, name, spec)
		}
	}
	free := make([]string, 4)
	for i := range free {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		ts.Check(err)
		defer func() { _ = l.Close() }()
		_, free[i], err = net.SplitHostPort(l.Addr().String())
		ts.Check(err)
	}
	node := platformtest.NodeFile(map[string]string{
		"ip": "127.0.0.1", "listen.front": "127.0.0.1:" + free[0], "listen.ready": "127.0.0.1:" + free[1], "listen.control": "",
		"port_range": free[2] + "," + free[2], "seeds": "", "provider.address": store.Address(),
	})
	for _, field := range args[1:] {
		node += field + "\n"
	}
	ts.Check(os.WriteFile(ts.MkAbs("node.conf"), []byte(node), 0o600))
	port, err := strconv.Atoi(free[3])
	ts.Check(err)
	settings, err := json.Marshal(map[string]any{"metrics_port": port, "operator_key_sha256": directory.HashKey("operator-key")})
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("edge.json"), settings, 0o600))
	ts.Setenv(nodeFileVariable, ts.MkAbs("node.conf"))
	ts.Setenv("OPERATOR", "http://127.0.0.1:"+free[3])
}

// nodeFileVariable names the file with the settings of an edge's machine.
const nodeFileVariable = "DRAGONFLYPIN_NODE_FILE"
