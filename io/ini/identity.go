package ini

import "ibiswinch/core/settings"

// Identity identifies the process among the entry VMs.
type Identity struct {
	// VM is the name of the entry VM in the platform's list.
	VM string
	// Domain is the failure domain; it must be in the inventory.
	Domain string
	// Slot is the number of the VM in its domain, from 0 to one below the domain's slots in the inventory. It is unique
	// among the running VMs of a domain; a replacement takes over the slot of the VM that it replaces.
	Slot int
}

func (r *reader) identity() Identity {
	s := r.file.UnnamedSection("identity")
	return Identity{
		VM:     settings.Required(s, "vm", settings.Name),
		Domain: settings.Required(s, "domain", settings.Name),
		Slot:   int(settings.Required(s, "slot", settings.Count(0, 1023))),
	}
}
