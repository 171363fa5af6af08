// Package docs checks the pages of this folder against the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// requirementCells is the number of cells of a row of conformance.md.
	requirementCells = 5
	// noTest stands in place of tests in a row without one.
	noTest = "none"
)

// requirement is a row of conformance.md.
type requirement struct {
	section, asked, file string
	// tests are the tests that fail if the requirement isn't met, as "FOLDER.TestName"; empty if there is none.
	tests []string
}

// TestConformance guards against a table of requirements that names files or tests that don't exist.
func TestConformance(t *testing.T) {
	c := qt.New(t)
	requirements := readRequirements(c)
	c.Assert(len(requirements) > 0, qt.IsTrue)
	known := map[string]map[string]bool{}
	untested := 0
	for _, r := range requirements {
		comment := qt.Commentf("%s: %s", r.section, r.asked)
		_, err := os.Stat(filepath.Join("..", filepath.FromSlash(r.file)))
		c.Check(err, qt.IsNil, comment)
		for _, name := range r.tests {
			folder, test, _ := strings.Cut(name, ".")
			if known[folder] == nil {
				known[folder] = testsOf(c, folder)
			}
			c.Check(known[folder][test], qt.IsTrue, qt.Commentf("%s: %s", r.section, name))
		}
		if len(r.tests) == 0 {
			untested++
		}
	}
	t.Logf("%d requirements, %d without a test", len(requirements), untested)
}

// readRequirements returns the rows of the tables of conformance.md.
func readRequirements(c *qt.C) []requirement {
	page, err := os.ReadFile("conformance.md")
	c.Assert(err, qt.IsNil)
	var requirements []requirement
	header := true
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		switch {
		case len(cells) < 3 || cells[0] != "":
			header = true
			continue
		case header, strings.HasPrefix(cells[1], " ---"):
			header = false
			continue
		}
		c.Assert(cells, qt.HasLen, requirementCells+2, qt.Commentf("%s", line))
		r := requirement{section: strings.TrimSpace(cells[1]), asked: strings.TrimSpace(cells[2]), file: strings.TrimSpace(cells[4])}
		if tests := strings.TrimSpace(cells[5]); tests != noTest {
			r.tests = strings.Fields(tests)
			c.Assert(len(r.tests) > 0, qt.IsTrue, qt.Commentf("%s", line))
		}
		requirements = append(requirements, r)
	}
	return requirements
}

// testsOf returns the names of the test functions of a folder of this repository.
func testsOf(c *qt.C, folder string) map[string]bool {
	files, err := filepath.Glob(filepath.Join("..", filepath.FromSlash(folder), "*_test.go"))
	c.Assert(err, qt.IsNil)
	names := map[string]bool{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		c.Assert(err, qt.IsNil)
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil && strings.HasPrefix(f.Name.Name, "Test") {
				names[f.Name.Name] = true
			}
		}
	}
	return names
}
