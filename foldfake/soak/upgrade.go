package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// UpgradeVM lets a process shut down, and starts the new program in its place.
	UpgradeVM Kind = "upgradeVM"
	// DowngradeVM does the same with the old program.
	DowngradeVM Kind = "downgradeVM"
)

const (
	// halfwayChance is the chance that an upgrade stops after half of the VMs, and backChance
	// that all upgraded VMs go back to the old program.
	halfwayChance = 0.25
	backChance    = 0.3
	// maxUpgrade is the longest time that a VM is down between the two programs.
	maxUpgrade = 500 * time.Millisecond
)

// planUpgrade returns the upgrade of a seed, one VM after the other: the control VMs first,
// the others first, or in any order. The control VMs are the first ones.
func planUpgrade(seed uint64, length time.Duration, vms int) []Fault {
	p := planner{r: rand.New(rand.NewPCG(seed, 9))}
	steps := p.upgradeSteps(vms)
	gap := length / time.Duration(len(steps)+1)
	for i := range steps {
		steps[i].At = gap * time.Duration(i+1)
		steps[i].For = p.upTo(maxUpgrade)
	}
	return steps
}

// upgradeSteps returns the steps of an upgrade without their times.
func (p *planner) upgradeSteps(vms int) []Fault {
	order := p.upgradeOrder(vms)
	if p.r.Float64() < halfwayChance {
		order = order[:(vms+1)/2]
	}
	var steps []Fault
	for _, i := range order {
		steps = append(steps, Fault{Kind: UpgradeVM, Target: i})
	}
	if p.r.Float64() >= backChance {
		return steps
	}
	for _, i := range slices.Backward(order) {
		steps = append(steps, Fault{Kind: DowngradeVM, Target: i})
	}
	return steps
}

// upgradeOrder draws the order in which VMs are upgraded.
func (p *planner) upgradeOrder(vms int) []int {
	order := make([]int, vms)
	for i := range order {
		order[i] = i
	}
	switch p.r.IntN(3) {
	case 0:
		slices.Reverse(order)
	case 1:
		p.r.Shuffle(vms, func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	return order
}
