package main

import "ibiswinch/standin/service"

type serviceCommand struct {
	listenFlag
	Name string `help:"Name of the service in its answers." default:"service"`
}

// Run serves the plain service.
func (c serviceCommand) Run() error {
	return c.run("service", service.New(service.Config{Name: c.Name}))
}
