import {type Scenario} from '../scenario.js';
import {controlIsolationScenarios, isolatedLeaderScenario} from './control-isolation.js';
import {cutPrimaryScenarios} from './cut-primary.js';
import {freezeScenarios} from './freeze-process.js';
import {killScenarios, killTwiceScenarios} from './kill-process.js';
import {leavingScenarios} from './leaving-member.js';
import {simultaneousFailureScenarios} from './simultaneous-failures.js';
import {plannedPromotionScenario, plannedStopScenarios} from './planned-stop.js';
import {proxyInTransactionScenarios} from './proxy-in-transaction.js';
import {resendScenario} from './resend-change.js';
import {restartAfterChangesScenario} from './restart-after-changes.js';
import {killSequence, plannedSequence} from './sequences.js';
import {stalledConnectionScenarios} from './stalled-connections.js';
import {twoOperatorsScenario} from './two-operators.js';
import {voterDiskScenarios} from './voter-disk.js';

/** All scenarios in the order in which they run. */
export const scenarios: readonly Scenario[] = [
	...killScenarios,
	...proxyInTransactionScenarios,
	...plannedStopScenarios,
	plannedPromotionScenario,
	...leavingScenarios,
	...cutPrimaryScenarios,
	...stalledConnectionScenarios,
	...freezeScenarios,
	twoOperatorsScenario,
	resendScenario,
	restartAfterChangesScenario,
	...controlIsolationScenarios,
	isolatedLeaderScenario,
	...voterDiskScenarios,
	...killTwiceScenarios,
	...simultaneousFailureScenarios,
	killSequence,
	plannedSequence,
];
