package cli_test

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dragonflypin/dragonflypin/internal/app/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"dragonflypin": func() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against changes of exit statuses, messages and output of the command line.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waitline":  waitLine,
			"http":      httpRequest,
			"start":     start,
			"terminate": terminate,
			"exits":     exits,
			"replace":   replace,
			"variable":  variable,
			"until":     until,
			"keyfiles":  keyFiles,
			"ports":     ports,
			"expand":    expand,
			"serving":   serving,
			"runpages":  runPages,
			"edgefiles": edgeFiles,
		},
		Setup: func(env *testscript.Env) error {
			env.Values[processKey{}] = make(map[string]*exec.Cmd)
			env.Values[authorityKey{}] = &authority{}
			return nil
		},
	})
}

// startTimeout is the timeout for a line of a started process; the demo must be ready within it on a busy machine.
const startTimeout = 60 * time.Second

// start implements start NAME ARG..., which starts the command line as a process with its output in NAME.out and NAME.err.
func start(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME ARG...")
	}
	out, err := os.Create(ts.MkAbs(args[0] + ".out"))
	ts.Check(err)
	errOut, err := os.Create(ts.MkAbs(args[0] + ".err"))
	ts.Check(err)
	c := exec.Command("dragonflypin", args[1:]...)
	c.Dir, c.Stdout, c.Stderr = ts.MkAbs("."), out, errOut
	c.Env = append(os.Environ(), nodeFileVariable+"="+ts.Getenv(nodeFileVariable))
	ts.Check(c.Start())
	processes(ts)[args[0]] = c
	ts.Defer(func() {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
		_, _ = out.Close(), errOut.Close()
	})
}

// terminate implements terminate NAME, which sends SIGTERM and fails unless the process exits with status 0. It can't be named stop:
// testscript's own command of that name comes first and ends the script.
func terminate(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 || processes(ts)[args[0]] == nil {
		ts.Fatalf("usage: terminate NAME")
	}
	c := processes(ts)[args[0]]
	ts.Check(c.Process.Signal(syscall.SIGTERM))
	if err := c.Wait(); err != nil {
		ts.Fatalf("%s after SIGTERM: %v: %s", args[0], err, ts.ReadFile(args[0]+".err"))
	}
}

type processKey struct{}

func processes(ts *testscript.TestScript) map[string]*exec.Cmd {
	return ts.Value(processKey{}).(map[string]*exec.Cmd)
}

// waitLine implements waitline NAME PREFIX VARIABLE, which waits for an output line of a started process that begins with
// the prefix, and sets a variable to the rest of the line.
func waitLine(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: waitline NAME PREFIX VARIABLE")
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		data, _ := os.ReadFile(ts.MkAbs(args[0] + ".out"))
		for line := range strings.Lines(string(data)) {
			if rest, ok := strings.CutPrefix(line, args[1]); ok && strings.HasSuffix(line, "\n") {
				ts.Setenv(args[2], strings.TrimSpace(rest))
				return
			}
		}
	}
	ts.Fatalf("%s printed no line that begins with %q: %s", args[0], args[1], ts.ReadFile(args[0]+".err"))
}

// httpRequest implements http [-H NAME:VALUE]... METHOD URL [BODY], which sends a request and writes the status, header and
// body of the response to the file answer. It fails on a status of 400 or above, and with ! on a status below 400.
func httpRequest(ts *testscript.TestScript, neg bool, args []string) {
	header := http.Header{}
	for len(args) > 1 && args[0] == "-H" {
		name, value, _ := strings.Cut(args[1], ":")
		header.Set(name, value)
		args = args[2:]
	}
	if len(args) < 2 {
		ts.Fatalf("usage: http [-H NAME:VALUE]... METHOD URL [BODY]")
	}
	r, err := http.NewRequest(args[0], args[1], strings.NewReader(strings.Join(args[2:], " ")))
	ts.Check(err)
	r.Header = header
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	var text strings.Builder
	text.WriteString(resp.Status + "\n")
	_ = resp.Header.Write(&text)
	ts.Check(os.WriteFile(ts.MkAbs("answer"), []byte(text.String()+"\n"+string(body)+"\n"), 0o600))
	if failed := resp.StatusCode >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("%s %s: %s: %s", args[0], args[1], resp.Status, body)
	}
}

// exits implements exits STATUS ARG..., which runs the command line and fails unless it returns the exit status. The output
// goes to the files out and err.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	var out, errOut strings.Builder
	status := cli.Run(args[1:], &out, &errOut)
	ts.Check(os.WriteFile(ts.MkAbs("out"), []byte(out.String()), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("err"), []byte(errOut.String()), 0o600))
	if want := int(args[0][0] - '0'); status != want {
		ts.Fatalf("exit status %d, want %d: %s", status, want, errOut.String())
	}
}

// replace implements replace FILE OLD NEW, which replaces the first occurrence of OLD and fails if there is none.
func replace(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: replace FILE OLD NEW")
	}
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}

// untilTimeout is twice the time within which usage records are sealed and a new table version is in force at every entry.
const untilTimeout = 20 * time.Second

// until implements until PATTERN ARG..., which runs the command line repeatedly until it succeeds with output that matches
// the pattern. The last output goes to the file out.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until PATTERN ARG...")
	}
	pattern := regexp.MustCompile(args[0])
	for deadline := time.Now().Add(untilTimeout); ; time.Sleep(200 * time.Millisecond) {
		c := exec.Command("dragonflypin", args[1:]...)
		c.Dir = ts.MkAbs(".")
		for _, name := range []string{"DRAGONFLYPIN_SERVER", "DRAGONFLYPIN_KEY"} {
			c.Env = append(c.Env, name+"="+ts.Getenv(name))
		}
		out, err := c.CombinedOutput()
		if err == nil && pattern.Match(out) {
			ts.Check(os.WriteFile(ts.MkAbs("out"), out, 0o600))
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no output that matches %q: %v: %s", args[0], err, out)
		}
	}
}

// variable implements variable NAME PATTERN FILE, which sets a variable to the pattern's capture group in a file.
func variable(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: variable NAME PATTERN FILE")
	}
	match := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile(args[2]))
	if len(match) != 2 {
		ts.Fatalf("%s has no match of %q", args[2], args[1])
	}
	ts.Setenv(args[0], match[1])
}
