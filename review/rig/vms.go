package main

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// addVM starts a machine that is not part of the first start. Its settings name the
// machines that exist already.
func (c *cluster) addVM(name, zone string) (*vm, error) {
	v := &vm{name: name, zone: zone, ip: c.nextIP()}
	if err := c.startVM(v, false); err != nil {
		return nil, err
	}
	c.vms = append(c.vms, v)
	return v, nil
}

// addEntry starts a machine without a disk, which has an entry only.
func (c *cluster) addEntry(name, zone string) error {
	v := &vm{name: name, zone: zone, ip: c.nextIP(), diskless: true}
	c.vms = append(c.vms, v)
	return c.startVM(v, false)
}

// removeVM stops a machine for good, as the platform does: SIGTERM, and SIGKILL after
// the grace time.
func (c *cluster) removeVM(v *vm) {
	for i, other := range c.vms {
		if other == v {
			c.vms = append(append([]*vm(nil), c.vms[:i]...), c.vms[i+1:]...)
			break
		}
	}
	c.gone = append(c.gone, v)
	for _, p := range v.processes() {
		p.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() {
			if !p.ended() {
				p.kill()
			}
		})
	}
}

// loseDisk ends the processes of a machine and starts them again after a time at the
// same address, with an empty data folder.
func (c *cluster) loseDisk(v *vm, down time.Duration) error {
	for _, p := range v.processes() {
		p.kill()
	}
	if err := os.RemoveAll(filepath.Join(c.dir, v.name)); err != nil {
		return err
	}
	time.Sleep(down)
	return c.startVM(v, false)
}

// processes returns the processes of the machine. One without a disk has no control process.
func (v *vm) processes() []*process {
	if v.diskless {
		return []*process{v.entry}
	}
	return []*process{v.entry, v.control}
}
