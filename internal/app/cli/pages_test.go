package cli_test

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	repository = "../../.."
	fence      = "```"
	// runMark is the info string of a block whose commands are run as written.
	runMark = "sh run"
)

// placeholder matches a placeholder in capitals, such as REQUEST-ID, but not a shell variable.
var placeholder = regexp.MustCompile(`(^|[ =/:"])[A-Z][A-Z-]+\b`)

// block is one fenced code block of a page. mark is its info string.
type block struct{ mark, text string }

func fencedBlocks(page string) []block {
	var list []block
	open := false
	for line := range strings.Lines(page) {
		rest, isFence := strings.CutPrefix(strings.TrimSpace(line), fence)
		switch {
		case isFence && open:
			open = false
		case isFence:
			open = true
			list = append(list, block{mark: rest})
		case open:
			list[len(list)-1].text += line
		}
	}
	return list
}

// runPages implements runpages VARIABLE..., which runs the marked blocks of every page in order, with the variables in their
// environment. It fails if a block exits with a status other than 0, or if a block of the operators' pages calls
// dragonflypin but is neither marked nor contains a placeholder.
func runPages(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: runpages VARIABLE...")
	}
	env := os.Environ()
	for _, name := range args {
		env = append(env, name+"="+ts.Getenv(name))
	}
	pages := []string{filepath.Join(repository, "README.md")}
	ts.Check(filepath.WalkDir(filepath.Join(repository, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return err
	}))
	run := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		ts.Check(err)
		for _, b := range fencedBlocks(string(text)) {
			switch {
			case b.mark == runMark:
				run++
				runBlock(ts, page, b.text, env)
			case strings.Contains(page, "operators") && strings.Contains(b.text, "dragonflypin ") && !placeholder.MatchString(b.text):
				ts.Fatalf("%s: a block without placeholders must be marked %q:\n%s", page, runMark, b.text)
			}
		}
	}
	if run == 0 {
		ts.Fatalf("no page has a block marked %q", runMark)
	}
}

func runBlock(ts *testscript.TestScript, page, text string, env []string) {
	c := exec.Command("sh", "-eux", "-c", text)
	c.Dir, c.Env = ts.MkAbs("."), env
	out, err := c.CombinedOutput()
	ts.Logf("%s:\n%s", page, out)
	if err != nil {
		ts.Fatalf("%s: %v in the block\n%s", page, err, text)
	}
}
