// Package process runs real processes of the one binary on loopback, and reads
// what the operating system and the processes say of themselves.
package process

import (
	"bufio"
	"io"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoAddress reports a process that did not print its address.
var ErrNoAddress = eris.New("the process printed no address")

// killAfter is how long a process may take to end after it was asked to.
const killAfter = 5 * time.Second

// Process is a running process that this one started.
type Process struct {
	command *exec.Cmd
	input   io.Closer
	done    chan struct{}
}

// start starts a command whose errors go to stderr.
func start(command *exec.Cmd) (*Process, error) {
	input, err := command.StdinPipe()
	if err != nil {
		return nil, eris.Wrap(err, "start process")
	}
	if err := command.Start(); err != nil {
		return nil, eris.Wrap(err, "start process")
	}
	p := &Process{command: command, input: input, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = command.Wait()
	}()
	return p, nil
}

// PID returns the process's id.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Kill ends the process at once, by its id.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop asks the process to end and kills it when it takes too long.
func (p *Process) Stop() {
	_ = p.input.Close()
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(killAfter):
		p.Kill()
	}
}

// Backend is a stand-in backend server in a process of its own.
type Backend struct {
	*Process
	// Address is where it listens, IP:port.
	Address string
}

// StartBackend starts a program that prints its address on its first line.
func StartBackend(program string, args ...string) (*Backend, error) {
	command := exec.Command(program, args...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, eris.Wrap(err, "start backend server")
	}
	p, err := start(command)
	if err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		p.Kill()
		return nil, eris.Wrap(ErrNoAddress, err.Error())
	}
	return &Backend{Process: p, Address: strings.TrimSpace(line)}, nil
}
