package saddlesettings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"
)

// checker collects the errors of one settings file.
type checker struct {
	file string
	errs []error
}

func (c *checker) add(key string, value any, allowed string) {
	c.errs = append(c.errs, &Error{File: c.file, Key: key, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Allowed: allowed})
}

func (c *checker) err() error { return errors.Join(c.errs...) }

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, value, "must be given")
	}
}

func (c *checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		c.add(key, value, "must be IP:port")
	}
}

// dialableAddress checks an address that other processes are told to dial. In addition
// to the rules of address, the IP must not be unspecified, such as 0.0.0.0.
func (c *checker) dialableAddress(key, value string) {
	c.address(key, value)
	host, _, _ := net.SplitHostPort(value)
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		c.add(key, value, "must be an IP that other processes can dial")
	}
}

func (c *checker) addresses(key string, values []string) {
	if len(values) == 0 {
		c.add(key, values, "must name at least one address")
	}
	for i, v := range values {
		c.address(fmt.Sprintf("%s[%d]", key, i), v)
		if slices.Contains(values[:i], v) {
			c.add(fmt.Sprintf("%s[%d]", key, i), v, "appears twice")
		}
	}
}

func (c *checker) duration(key string, value Duration, low, high time.Duration) {
	if v := value.Std(); v < low || v > high {
		c.add(key, value, fmt.Sprintf("must be from %s to %s", low, high))
	}
}

// count checks that a value is from 1 to high.
func (c *checker) count(key string, value, high int) {
	if value < 1 || value > high {
		c.add(key, value, fmt.Sprintf("must be from 1 to %d", high))
	}
}

// fraction checks that a value is from 0 to 1. NaN is an error.
func (c *checker) fraction(key string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.add(key, value, "must be from 0 to 1")
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(key, value, fmt.Sprintf("must be one of %q", allowed))
	}
}
