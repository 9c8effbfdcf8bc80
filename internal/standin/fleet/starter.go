package fleet

import (
	"os/exec"
	"runtime"
	"sync"
)

// starter starts processes on one thread that lives as long as this process: the signal that ends a process
// with its parent comes when the thread that started it ends, not the whole parent.
type starter struct {
	once sync.Once
	cmds chan func()
}

var processes = starter{
	cmds: make(chan func()),
}

func (str *starter) start(cmd *exec.Cmd) error {
	str.once.Do(func() {
		go func() {
			runtime.LockOSThread()
			for start := range str.cmds {
				start()
			}
		}()
	})
	result := make(chan error)
	str.cmds <- func() { result <- cmd.Start() }
	return <-result
}
