package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	lowPort   = 20000 // ports are taken below the range of outgoing connections
	highPort  = 32000
	tickHertz = 100 // USER_HZ of Linux, the unit of /proc/PID/stat
	loopback  = "127.0.0.1"
)

// ports hands out loopback ports that are free for TCP and UDP.
type ports struct{ next int }

func newPorts() *ports { return &ports{next: lowPort + rand.IntN(highPort-lowPort)} }

// addr returns the next free IP:port.
func (p *ports) addr() string {
	for {
		p.next++
		if p.next >= highPort {
			p.next = lowPort
		}
		addr := fmt.Sprintf("%s:%d", loopback, p.next)
		if free(addr) {
			return addr
		}
	}
}

func free(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	u.Close()
	return true
}

// cpuOf reads the user and system time of a process; 0 if it has ended.
func cpuOf(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The second field, the name in parentheses, may hold spaces.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	const utime, stime = 11, 12
	user, _ := strconv.Atoi(fields[utime])
	system, _ := strconv.Atoi(fields[stime])
	return time.Duration(user+system) * time.Second / tickHertz
}
