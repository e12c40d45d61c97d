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

const mutantLimit = "120s"

// Mutants is the command mutants.
type Mutants struct {
	Root string `long:"root" default:"." description:"top of the repository"`
	Only string `long:"only" description:"regular expression over the names"`
}

// Mutant removes one mechanism and names the check that must then fail.
type Mutant struct {
	Name    string `yaml:"name" validate:"required"`
	Guards  string `yaml:"guards" validate:"required"`
	File    string `yaml:"file" validate:"required"`
	Edit    `yaml:",inline"`
	Also    *Edit  `yaml:"also,omitempty"` // where two mechanisms guard the same
	Module  string `yaml:"module" validate:"required"`
	Package string `yaml:"package" validate:"required"`
	Test    string `yaml:"test" validate:"required"`
}

// Edit replaces a text that stands once in a file.
type Edit struct {
	Old string `yaml:"old" validate:"required"`
	New string `yaml:"new"`
}

func (e *Edit) apply(text string) (string, error) {
	if n := strings.Count(text, e.Old); n != 1 {
		return "", fmt.Errorf("the text to replace stands %d times: %q", n, e.Old)
	}
	return strings.Replace(text, e.Old, e.New, 1), nil
}

type mutantsFile struct {
	Mutants []Mutant `yaml:"mutants" validate:"required,dive"`
}

// Execute runs every mutant in a copy of the repository. It returns an error if
// a check passes without its mechanism.
func (m *Mutants) Execute([]string) error {
	list, err := sets.Load[mutantsFile](filepath.Join(m.Root, "proof", "mutants.yaml"))
	if err != nil {
		return err
	}
	only, err := regexp.Compile(m.Only)
	if err != nil {
		return fmt.Errorf("--only: %w", err)
	}
	survived := 0
	for _, mu := range list.Mutants {
		if !only.MatchString(mu.Name) {
			continue
		}
		began := time.Now()
		verdict := "fails, as it must"
		if err := mu.run(m.Root); err != nil {
			survived++
			verdict = "NOT SEEN FAILING: " + err.Error()
		}
		fmt.Printf("%-22s %5.1fs  %s (%s)\n", mu.Name, time.Since(began).Seconds(), verdict, mu.Guards)
	}
	if survived > 0 {
		return fmt.Errorf("%d checks were not seen failing", survived)
	}
	return nil
}

// run returns nil if the check fails without the mechanism, by its own verdict.
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
	cmd := exec.Command("go", "test", "-count=1", "-timeout", mutantLimit, "-run", mu.Test, mu.Package)
	cmd.Dir = filepath.Join(dir, mu.Module)
	out, err := cmd.CombinedOutput()
	return judgeMutant(out, err)
}

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

func judgeMutant(out []byte, err error) error {
	switch {
	case err == nil:
		return errors.New("the check passes")
	case bytes.Contains(out, []byte("[build failed]")), bytes.Contains(out, []byte("build programs")):
		return fmt.Errorf("it doesn't build: %.400s", out)
	case !bytes.Contains(out, []byte("--- FAIL")):
		return fmt.Errorf("no test failed: %.400s", out)
	default:
		return nil
	}
}

// copyTree copies the files that git knows or would add.
func copyTree(root, dir string) error {
	cmd := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard")
	cmd.Dir = root
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("list files: %w", err)
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
		to := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(to, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}
