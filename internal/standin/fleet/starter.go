package fleet

import (
	"os/exec"
	"runtime"
	"sync"
)

// threadStarter starts processes on one thread that lives as long as this process: the signal that ends a process
// with its parent comes when the thread that started it ends, not the whole parent.
type threadStarter struct {
	once   sync.Once
	starts chan func()
}

var processStarter = threadStarter{
	starts: make(chan func()),
}

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
