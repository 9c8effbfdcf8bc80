package fleet

import (
	"os/exec"
	"runtime"
	"sync"
)

// threadStarter starts processes from one operating-system thread that lives as long as this process. The kernel
// sends the parent-death signal when the thread that started the child ends, not when the whole parent ends.
type threadStarter struct {
	once   sync.Once
	starts chan func()
}

var processStarter = threadStarter{
	starts: make(chan func()),
}

// start starts cmd from the common thread and returns the error of the start.
func (str *threadStarter) start(cmd *exec.Cmd) error {
	str.once.Do(func() {
		go func() {
			runtime.LockOSThread()
			for start := range str.starts {
				start()
			}
		}()
	})
	result := make(chan error)
	str.starts <- func() { result <- cmd.Start() }
	return <-result
}
