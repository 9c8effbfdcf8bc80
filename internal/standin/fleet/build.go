package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/juju/errors"
)

// modulePath is the path of the Go module that contains the programs.
const modulePath = "github.com/cumintally/cumintally"

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "cumintally-bin-")
	if err != nil {
		return "", errors.Trace(err)
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if RaceDetectorEnabled {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, modulePath+"/cmd/...")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Annotatef(err, "go build: %s", out)
	}
	return dir, nil
})

// Build builds the programs on the first call in a process and returns the folder that holds them. RunTests
// removes this folder.
func Build() (string, error) {
	return buildOnce()
}

// RunTests builds the programs, runs the tests of a package with run and returns the exit status for TestMain.
func RunTests(run func() int) int {
	bin, err := Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	return run()
}
