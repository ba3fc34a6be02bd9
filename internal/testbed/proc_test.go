package testbed

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against cuts that concern no connection of the process, or those of another one.
func TestLocalPortsAreThoseOfTheProcess(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	port := conn.LocalAddr().(*net.TCPAddr).Port
	if !LocalPorts(os.Getpid())[port] {
		t.Errorf("port %d of this process is not found", port)
	}
	if LocalPorts(os.Getppid())[port] {
		t.Errorf("port %d is found at another process", port)
	}
	_ = conn.Close()
	if LocalPorts(os.Getpid())[port] {
		t.Errorf("port %d of a closed connection is found", port)
	}
}

// Guards against a process whose use of memory or disk is not seen.
func TestUseOfAProcessIsSeen(t *testing.T) {
	peak, err := PeakKB(os.Getpid())
	now, errNow := ResidentKB(os.Getpid())
	if err != nil || errNow != nil || peak < now/2 || peak <= 0 {
		t.Errorf("peak %v of %v, %v, %v", peak, now, err, errNow)
	}
	dir := t.TempDir()
	for _, name := range []string{"a", "b"} {
		if err := os.WriteFile(filepath.Join(dir, name), make([]byte, 1000), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if size := FolderBytes(dir); size != 2000 {
		t.Errorf("%d bytes", size)
	}
}

// Guards against a panic whose message is lost behind the stacks that follow it.
func TestLastLinesBeginAtThePanic(t *testing.T) {
	for text, want := range map[string]string{
		"one\ntwo\n":           "one\ntwo\n",
		"one\npanic: x\nstack": "panic: x\nstack",
		"fatal error: out\n" + strings.Repeat("stack\n", 1000): "fatal error: out\n" + strings.Repeat("stack\n", 1000)[:exitLinesBytes-17],
	} {
		file := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := lastLines(file); got != want {
			t.Errorf("%.40q: got %.60q, want %.60q", text, got, want)
		}
	}
}
