package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tickHertz is USER_HZ of Linux, the unit of /proc/PID/stat.
const tickHertz = 100

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
