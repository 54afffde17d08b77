package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/standin/platform"
)

// stopTime is how long the platform may take to end.
const stopTime = 5 * time.Second

// StartPlatform runs this program's platform command with further arguments as
// another process until stop is called.
func StartPlatform(ctx context.Context, arguments ...string) (description platform.Description, stop func(), err error) {
	program, err := os.Executable()
	if err != nil {
		return description, nil, eris.Wrap(err, "find this program")
	}
	command := exec.CommandContext(ctx, program, append([]string{"platform"}, arguments...)...)
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = stopTime
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return description, nil, eris.Wrap(err, "read from the platform")
	}
	if err := command.Start(); err != nil {
		return description, nil, eris.Wrap(err, "start the platform")
	}
	stop = func() {
		_ = command.Process.Signal(syscall.SIGTERM) // it has ended already if this fails
		_ = command.Wait()                          // it ends by the signal
	}
	line, err := bufio.NewReader(output).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &description)
	}
	if err != nil {
		stop()
		return description, nil, eris.Wrap(err, "read the platform's addresses")
	}
	return description, stop, nil
}
