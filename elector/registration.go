package elector

import (
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// registration returns this daemon's registration in the present era.
func (e *Elector) registration() Host {
	host := e.settings.Self
	host.Era, host.HeldLease = e.revision.Era, e.era.heldLease
	return host
}

// registered reports whether the rows contain this daemon's registration, of
// this incarnation and era and not revoked.
func (e *Elector) registered() bool {
	return e.registrations[e.settings.Self.Name] == e.registration()
}

// register writes this daemon's registration, and retries until the rows
// contain it.
func (e *Elector) register(now timekeeper.Millis) {
	if e.leaving || e.registering || e.registered() || now < e.registerDue {
		return
	}
	e.registering, e.registerSent = true, true
	e.registerDue = now + retryInterval
	row := encode(hostPrefix+e.settings.Self.Name, e.registration())
	e.write(Transaction{Set: []Row{row}}, func(_ timekeeper.Millis, result Result, _ Revision) {
		e.registering = false
		e.log("registration", observer.F("result", result.String()))
		e.commands = append(e.commands, ReloadRows{})
	})
}

// Deregister ends all leases and deletes the registration, with retries until Deregistered
// reports true. The daemon must not use any primary from now on.
func (e *Elector) Deregister(now timekeeper.Millis) []Command {
	e.leaving, e.registerDue = true, 0
	e.deregister(now)
	return e.takeCommands()
}

// Deregistered reports whether Deregister was called and the store no longer has the
// registration.
func (e *Elector) Deregistered() bool {
	return e.deregistered
}

// deregister deletes the registration if it is of this incarnation.
func (e *Elector) deregister(now timekeeper.Millis) {
	if e.registering || e.deregistered || now < e.registerDue {
		return
	}
	key := hostPrefix + e.settings.Self.Name
	registration, stored := e.registrations[e.settings.Self.Name]
	tx := Transaction{Delete: []string{key}}
	switch {
	case stored && registration.Incarnation == e.settings.Self.Incarnation:
		tx.Expect = []Row{{Key: key, Version: e.rows[key].Version}}
	case stored || !e.registerSent:
		e.deregistered = true
		return
	}
	e.registering, e.registerDue = true, now+retryInterval
	e.write(tx, func(_ timekeeper.Millis, result Result, _ Revision) {
		e.registering, e.deregistered = false, result == Applied
		e.log("registration deleted: this daemon ends", observer.F("result", result.String()))
		e.commands = append(e.commands, ReloadRows{})
	})
}
