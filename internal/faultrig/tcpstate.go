package faultrig

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const tcpEstablished = 1 // TCP_ESTABLISHED of the kernel's state machine

// established reports whether neither side has closed a TCP connection, as far as this side's kernel knows.
func established(conn net.Conn) bool {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	up := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO)
		up = err == nil && info.State == tcpEstablished
	})
	return up
}
