package overload

import "slices"

// maxAbsentDivisor bounds the entry VMs of a failure domain that leave the rotation for overload to a third. The load balancer
// uses all again if fewer than half are in rotation.
const maxAbsentDivisor = 3

// MayLeave reports whether the entry VM with a name may leave the rotation for overload, and stay away. overloaded are the
// overloaded ones of its failure domain, itself included, and total is the number of all that live there. Entry VMs that know the
// same ones decide without communication which of them leave.
func MayLeave(name string, overloaded []string, total int) bool {
	before := 0
	for _, other := range overloaded {
		if other < name {
			before++
		}
	}
	return slices.Contains(overloaded, name) && before < max(total/maxAbsentDivisor, 1)
}
