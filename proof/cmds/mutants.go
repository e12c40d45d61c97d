package cmds

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"wigeonplank.example/base/sets"
)

// mutantTimeout limits each test run, in the format of the -timeout flag of
// go test.
const mutantTimeout = "120s"

// Mutants implements the mutants command, which verifies that the tests detect
// the removal of each mechanism.
type Mutants struct {
	Root string `long:"root" default:"." description:"root directory of the repository"`
	Only string `long:"only" description:"regular expression; runs the mutants whose names match"`
}

// Mutant removes one mechanism from the source code and names the test that must
// then fail.
type Mutant struct {
	Name    string `yaml:"name" validate:"required"`
	Guards  string `yaml:"guards" validate:"required"`
	File    string `yaml:"file" validate:"required"`
	Edit    `yaml:",inline"`
	Also    *Edit  `yaml:"also,omitempty"` // a second edit of the file, where two mechanisms guard against the same fault
	Module  string `yaml:"module" validate:"required"`
	Package string `yaml:"package" validate:"required"`
	Test    string `yaml:"test" validate:"required"`
}

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	Old string `yaml:"old" validate:"required"`
	New string `yaml:"new"`
}

// apply returns text with the replacement made. It returns an error unless the
// old text occurs exactly once.
func (e *Edit) apply(text string) (string, error) {
	if n := strings.Count(text, e.Old); n != 1 {
		return "", fmt.Errorf("the text to replace occurs %d times instead of once: %q", n, e.Old)
	}
	return strings.Replace(text, e.Old, e.New, 1), nil
}

// mutantsFile is the content of proof/mutants.yaml.
type mutantsFile struct {
	Mutants []Mutant `yaml:"mutants" validate:"required,dive"`
}

// Execute runs the selected mutants, each in a copy of the repository. It returns
// an error if a test was not seen to fail without its mechanism.
func (m *Mutants) Execute([]string) error {
	list, err := sets.Load[mutantsFile](filepath.Join(m.Root, "proof", "mutants.yaml"))
	if err != nil {
		return err
	}
	only, err := regexp.Compile(m.Only)
	if err != nil {
		return fmt.Errorf("--only: %w", err)
	}
	undetected := 0
	for _, mu := range list.Mutants {
		if !only.MatchString(mu.Name) {
			continue
		}
		start := time.Now()
		verdict := "test fails as expected"
		if err := mu.run(m.Root); err != nil {
			undetected++
			verdict = "TEST FAILURE NOT SEEN: " + err.Error()
		}
		fmt.Printf("%-22s %5.1fs  %s (%s)\n", mu.Name, time.Since(start).Seconds(), verdict, mu.Guards)
	}
	if undetected > 0 {
		return fmt.Errorf("%d mutants without an observed test failure", undetected)
	}
	return nil
}

// run applies the mutant to a copy of the repository and runs its test there. It
// returns nil if the test itself fails, and an error if the test passes, or if
// the run fails for another reason.
func (mu *Mutant) run(root string) error {
	dir, err := os.MkdirTemp("", "wigeonplank-mutant-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyTree(root, dir); err != nil {
		return err
	}
	if err := mu.mutate(filepath.Join(dir, mu.File)); err != nil {
		return err
	}
	cmd := exec.Command("go", "test", "-count=1", "-timeout", mutantTimeout, "-run", mu.Test, mu.Package)
	cmd.Dir = filepath.Join(dir, mu.Module)
	out, err := cmd.CombinedOutput()
	return verifyFailure(out, err)
}

// mutate applies the edits to a file.
func (mu *Mutant) mutate(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	text, err := mu.apply(string(raw))
	if err == nil && mu.Also != nil {
		text, err = mu.Also.apply(text)
	}
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text), 0o644)
}

// verifyFailure returns nil if the output and error of go test show a failed test.
// Tests of whole deployments print "build programs" if they can't build the
// programs that they start.
func verifyFailure(out []byte, err error) error {
	switch {
	case err == nil:
		return errors.New("the test passes")
	case bytes.Contains(out, []byte("[build failed]")), bytes.Contains(out, []byte("build programs")):
		return fmt.Errorf("the mutated code doesn't build: %.400s", out)
	case !bytes.Contains(out, []byte("--- FAIL")):
		return fmt.Errorf("go test failed without a failing test: %.400s", out)
	default:
		return nil
	}
}

// copyTree copies the working tree at root to dir: the files that git tracks, and
// untracked files that it doesn't ignore. Tracked files that were deleted are
// skipped.
func copyTree(root, dir string) error {
	cmd := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard")
	cmd.Dir = root
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("list files with git: %w", err)
	}
	for name := range strings.Lines(string(out)) {
		name = strings.TrimSpace(name)
		raw, err := os.ReadFile(filepath.Join(root, name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		dst := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(dst), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(dst, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}
