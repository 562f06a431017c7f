import {type HybridTime} from '../timeline/hybrid-clock.js';

/** A request that expects one response with the same number. */
export type RequestMessage = {
	readonly kind: 'request';
	readonly number: number;
	readonly name: string;
	readonly body: unknown;
	readonly time: HybridTime;
};

/** The response to the request with the same number; the body of a code other than 0 is a text. */
export type ResponseMessage = {
	readonly kind: 'response';
	readonly number: number;
	readonly code: number;
	readonly body: unknown;
	readonly time: HybridTime;
};

/** A message without a response. */
export type NoticeMessage = {
	readonly kind: 'notice';
	readonly name: string;
	readonly body: unknown;
	readonly time: HybridTime;
};

/** Any message of a link. */
export type LinkMessage = RequestMessage | ResponseMessage | NoticeMessage;

/** Name of the notice that keeps an idle link alive. */
export const pingName = 'ping';
